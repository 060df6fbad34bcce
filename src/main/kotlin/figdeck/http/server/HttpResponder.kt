package figdeck.http.server

import io.netty.handler.codec.http.HttpHeaders

/**
 * Sends the response to one call. A handler calls either [start] once and then [write] for each chunk, or [respond]
 * once. The server ends the response when the handler returns. Each function suspends while the peer reads slowly.
 *
 * @property start sends the status and headers of a chunked response.
 * @property write sends a chunk of the body.
 * @property respond sends the status, the headers and the whole body.
 */
public data class HttpResponder(
    public val start: suspend (status: Int, headers: HttpHeaders) -> Unit,
    public val write: suspend (chunk: ByteArray) -> Unit,
    public val respond: suspend (status: Int, headers: HttpHeaders, body: ByteArray) -> Unit,
)

/** Handles a call and sends the response through the responder. It is cancelled when the peer disconnects. */
public typealias HttpHandler = suspend (HttpCall, HttpResponder) -> Unit
