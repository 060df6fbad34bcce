package figdeck.http.client

import figdeck.http.HttpBody
import io.netty.handler.codec.http.HttpHeaders

/** A response whose status and headers have been received; the body may still be arriving. */
public data class HttpReply(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: HttpBody,
)
