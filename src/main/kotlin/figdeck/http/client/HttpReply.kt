package figdeck.http.client

import figdeck.http.HttpBody
import io.netty.handler.codec.http.HttpHeaders

/**
 * A response whose status and headers have been received; the body may still be arriving.
 *
 * @property earlierExchanges the number of exchanges that the connection had carried before this one.
 */
public data class HttpReply(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: HttpBody,
    public val earlierExchanges: Int = 0,
)
