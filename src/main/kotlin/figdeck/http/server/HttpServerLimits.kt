package figdeck.http.server

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_MAX_HEADER_BYTES = 32 * 1024
private const val DEFAULT_MAX_REQUEST_LINE_BYTES = 8 * 1024

/**
 * What a listener bears from its peers.
 *
 * @property maxHeaderBytes the longest header block.
 * @property maxRequestLineBytes the longest request line.
 * @property headerTimeout the time from connecting, or from the previous response, until a request head is whole.
 * @property bodyIdleTimeout the longest pause within a request body.
 * @property bodyTotalTimeout the time within which a request body must be whole.
 * @property writeTimeout the longest time for which a peer may read nothing of a response.
 */
public data class HttpServerLimits(
    public val maxHeaderBytes: Int = DEFAULT_MAX_HEADER_BYTES,
    public val maxRequestLineBytes: Int = DEFAULT_MAX_REQUEST_LINE_BYTES,
    public val headerTimeout: Duration = 60.seconds,
    public val bodyIdleTimeout: Duration = 10.seconds,
    public val bodyTotalTimeout: Duration = 10.minutes,
    public val writeTimeout: Duration = 30.seconds,
)
