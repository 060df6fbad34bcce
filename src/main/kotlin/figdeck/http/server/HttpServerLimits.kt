package figdeck.http.server

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_MAX_HEADER_BYTES = 32 * 1024
private const val DEFAULT_MAX_REQUEST_LINE_BYTES = 8 * 1024

/**
 * The limits that a server enforces on each connection.
 *
 * @property maxHeaderBytes the maximum size of the request headers.
 * @property maxRequestLineBytes the maximum size of the request line.
 * @property headerTimeout the maximum time from the connect, or from the end of the previous response, until a request
 * head is complete.
 * @property bodyIdleTimeout the maximum pause between chunks of a request body.
 * @property bodyTotalTimeout the maximum time until a request body is complete.
 * @property writeTimeout the maximum time that a peer may take to read pending response data.
 */
public data class HttpServerLimits(
    public val maxHeaderBytes: Int = DEFAULT_MAX_HEADER_BYTES,
    public val maxRequestLineBytes: Int = DEFAULT_MAX_REQUEST_LINE_BYTES,
    public val headerTimeout: Duration = 60.seconds,
    public val bodyIdleTimeout: Duration = 10.seconds,
    public val bodyTotalTimeout: Duration = 10.minutes,
    public val writeTimeout: Duration = 30.seconds,
)
