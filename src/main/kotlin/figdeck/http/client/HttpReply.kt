package figdeck.http.client

import figdeck.http.HttpBody
import io.netty.handler.codec.http.HttpHeaders

/** A response whose head has arrived. */
public data class HttpReply(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: HttpBody,
)
