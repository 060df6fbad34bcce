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
 * @property headers may come from a received message; [HttpClient] sends none that may not be sent.
 * @property freshConnection whether to open a new connection for this request. The peer may be closing a reused
 * connection, and then it is unknown whether the request arrived. Set this for requests that must not be repeated.
 * @property headTimeout the maximum time to wait for the response head.
 * @property writeTimeout the maximum time in which the peer takes nothing of a body that it has not read whole.
 * @property idleTimeout the maximum pause between chunks of the response body.
 */
public data class OutgoingRequest(
    public val address: Address,
    public val line: RequestLine,
    public val headers: HttpHeaders = newHeaders(),
    public val body: ByteArray = ByteArray(0),
    public val freshConnection: Boolean = false,
    public val headTimeout: Duration = DEFAULT_TIMEOUT,
    public val idleTimeout: Duration = DEFAULT_TIMEOUT,
    public val writeTimeout: Duration = DEFAULT_TIMEOUT,
)
