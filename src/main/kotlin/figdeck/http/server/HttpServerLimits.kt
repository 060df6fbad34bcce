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
 * @property writeTimeout the maximum time that a peer may take to read the rest of a response after its last part.
 * @property responseRoom how far responses are sent ahead of their readers; null for the rules of a plain listener.
 * @property sendBufferBytes the bytes that the system holds for each connection until its peer reads them; null for
 * the system's own choice, which is some megabytes for a fast link.
 */
public data class HttpServerLimits(
    public val maxHeaderBytes: Int = DEFAULT_MAX_HEADER_BYTES,
    public val maxRequestLineBytes: Int = DEFAULT_MAX_REQUEST_LINE_BYTES,
    public val headerTimeout: Duration = 60.seconds,
    public val bodyIdleTimeout: Duration = 10.seconds,
    public val bodyTotalTimeout: Duration = 10.minutes,
    public val writeTimeout: Duration = 30.seconds,
    public val responseRoom: ResponseRoom? = null,
    public val sendBufferBytes: Int? = null,
)
