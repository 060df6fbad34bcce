package figdeck.command.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Some seconds of the output of the fastest engines for a caller that doesn't read meanwhile. */
private const val EACH_BYTES = 256L * 1024

/**
 * More than a stream's caller leaves unread between two looks at its socket. A whole answer of up to 15,360 bytes fits
 * too; one full part of a larger answer does not, with the 512 bytes that are counted beside it.
 */
private const val SMALL_BYTES = 16L * 1024

/** A caller that takes less than this within the stall timeout reads less than 8 KB/s. */
private const val RESUME_BYTES = 16L * 1024

/** Shorter than the time for which upstreams keep a response that nobody reads. */
private val STALL_TIMEOUT = 2.seconds

private const val LARGE_PARTS = 8
private const val ALL_PARTS = 10
private const val PARTS = 100

/**
 * The memory that responses may take on one host while their callers don't read them, in bytes.
 *
 * @property each for one response.
 * @property small what each response may take as long as [all] has room, whatever larger ones take.
 * @property large for all responses together, if one of them would take more than [small].
 * @property all for all responses together.
 * @property resume how much must be free again before a stopped response continues.
 * @property stallTimeout how long a response may be stopped before it is ended.
 */
public data class ResponseMemoryLimits(
    public val each: Long,
    public val small: Long,
    public val large: Long,
    public val all: Long,
    public val resume: Long,
    public val stallTimeout: Duration = STALL_TIMEOUT,
)

/** Returns the limits for a heap of [heapBytes], a tenth of which bounds all responses together. */
public fun responseMemoryLimits(heapBytes: Long): ResponseMemoryLimits = ResponseMemoryLimits(
    each = EACH_BYTES,
    small = SMALL_BYTES,
    large = heapBytes * LARGE_PARTS / PARTS,
    all = heapBytes * ALL_PARTS / PARTS,
    resume = RESUME_BYTES,
)

/**
 * The bytes of responses that were sent and not taken by their callers' connections.
 *
 * @property own those of one response.
 * @property all those of all responses of the host.
 */
public data class ResponseMemoryUse(
    public val own: Long,
    public val all: Long,
)

/** Whether more of a response may be sent beside what is held. A caller that has taken everything is never stopped. */
public fun hasRoom(use: ResponseMemoryUse, limits: ResponseMemoryLimits): Boolean = when {
    use.own == 0L -> true
    use.own <= limits.small -> use.all <= limits.all
    else -> use.own <= limits.each && use.all <= limits.large
}

/** Whether a response that was stopped for want of room may continue. */
public fun mayResume(use: ResponseMemoryUse, limits: ResponseMemoryLimits): Boolean =
    use.own == 0L || hasRoom(ResponseMemoryUse(use.own + limits.resume, use.all + limits.resume), limits)

/**
 * How many of the limits for all responses leave no room beside [all] bytes for a stopped response to continue. Whether
 * [mayResume] holds for a response changes only with its own bytes and with this number.
 */
public fun exceededLimits(all: Long, limits: ResponseMemoryLimits): Int = when {
    all + limits.resume > limits.all -> 2
    all + limits.resume > limits.large -> 1
    else -> 0
}
