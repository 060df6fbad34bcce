package figdeck.http.server

import io.netty.handler.codec.http.HttpHeaders

/**
 * Sends the response to one call: [start] once, then [write] as often as needed, or [respond] alone.
 * The server ends the response when the handler returns. Each suspends while the peer is slow to read.
 *
 * @property start sends status and headers; the body follows in chunks.
 * @property write sends a chunk of the body.
 * @property respond sends status, headers and the whole body.
 */
public data class HttpResponder(
    public val start: suspend (status: Int, headers: HttpHeaders) -> Unit,
    public val write: suspend (chunk: ByteArray) -> Unit,
    public val respond: suspend (status: Int, headers: HttpHeaders, body: ByteArray) -> Unit,
)

/** Answers a call through the responder. It is cancelled when the peer hangs up. */
public typealias HttpHandler = suspend (HttpCall, HttpResponder) -> Unit
