package figdeck.http.client

import figdeck.http.newHeaders
import figdeck.model.Address
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TIMEOUT = 30.seconds

/**
 * A request to send.
 *
 * @property target the path and query as they go on the request line.
 * @property freshConnection whether to open a connection for it. A kept connection may be closing unseen, and then it
 * is uncertain whether the request arrived; a call that may not be repeated avoids that doubt.
 * @property headTimeout the longest wait for the response head.
 * @property idleTimeout the longest pause within the response body.
 */
public data class OutgoingRequest(
    public val address: Address,
    public val method: String,
    public val target: String,
    public val headers: HttpHeaders = newHeaders(),
    public val body: ByteArray = ByteArray(0),
    public val freshConnection: Boolean = false,
    public val headTimeout: Duration = DEFAULT_TIMEOUT,
    public val idleTimeout: Duration = DEFAULT_TIMEOUT,
)
