package figdeck.command.limit

import figdeck.model.Limit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

private const val NANOS_PER_SECOND = 1e9
private const val SHARE_OF_BURST = 4
private val SHORTEST_LIFE = 20.milliseconds
private val LONGEST_LIFE = 100.milliseconds

/**
 * The measures of a token bucket in time.
 *
 * @property intervalNanos the time in which one token comes back.
 * @property capacityNanos the time in which an empty bucket fills.
 * @property grantLife how long after the question a drawn token may be spent.
 */
public data class BucketShape(
    public val intervalNanos: Long,
    public val capacityNanos: Long,
    public val grantLife: Duration,
)

/** The shape of a bucket whose tokens are spent where and when they are taken. */
public fun Limit.plainShape(): BucketShape =
    BucketShape(nanosPerToken(), burst * nanosPerToken(), Duration.ZERO)

/**
 * The shape of a bucket whose tokens are spent up to [BucketShape.grantLife] after they were taken. The capacity is
 * smaller by that time, and so no window of spending sees more than rate x time + burst. A burst that leaves no room
 * for it makes the interval longer instead.
 */
public fun Limit.drawnShape(): BucketShape {
    val share = nanosPerToken() * burst / SHARE_OF_BURST
    val life = share.nanoseconds.coerceIn(SHORTEST_LIFE, LONGEST_LIFE)
    val lag = life.inWholeNanoseconds
    return if (burst == 1) {
        BucketShape(nanosPerToken() + lag, nanosPerToken() + lag, life)
    } else {
        val interval = maxOf(nanosPerToken(), (lag + burst - 2) / (burst - 1))
        BucketShape(interval, burst * interval - lag, life)
    }
}

private fun Limit.nanosPerToken(): Long = (NANOS_PER_SECOND / ratePerSecond).toLong().coerceAtLeast(1)
