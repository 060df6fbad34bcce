package figdeck.command.limit

import figdeck.model.Limit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

private const val NANOS_PER_SECOND = 1e9
private const val BURST_TIME_PER_GRANT_LIFETIME = 4
private val MIN_GRANT_LIFETIME = 20.milliseconds
private val MAX_GRANT_LIFETIME = 100.milliseconds

/**
 * The measures of a token bucket in time.
 *
 * @property emissionIntervalNanos the time in which one token comes back.
 * @property capacityNanos the time in which an empty bucket fills.
 * @property grantLifetime how long after the question a drawn token may be spent.
 */
public data class BucketParameters(
    public val emissionIntervalNanos: Long,
    public val capacityNanos: Long,
    public val grantLifetime: Duration,
)

/** The shape of a bucket whose tokens are spent where and when they are taken. */
public fun Limit.localParameters(): BucketParameters =
    BucketParameters(nanosPerToken(), burst * nanosPerToken(), Duration.ZERO)

/**
 * The parameters of a bucket whose tokens are spent up to [BucketParameters.grantLifetime] after they were taken.
 * The capacity is smaller by that time, and so no window of spending sees more than rate x time + burst. A burst that leaves no room
 * for it makes the interval longer instead.
 */
public fun Limit.grantParameters(): BucketParameters {
    val burstFraction = nanosPerToken() * burst / BURST_TIME_PER_GRANT_LIFETIME
    val lifetime = burstFraction.nanoseconds.coerceIn(MIN_GRANT_LIFETIME, MAX_GRANT_LIFETIME)
    val lifetimeNanos = lifetime.inWholeNanoseconds
    return if (burst == 1) {
        BucketParameters(nanosPerToken() + lifetimeNanos, nanosPerToken() + lifetimeNanos, lifetime)
    } else {
        val interval = maxOf(nanosPerToken(), (lifetimeNanos + burst - 2) / (burst - 1))
        BucketParameters(interval, burst * interval - lifetimeNanos, lifetime)
    }
}

private fun Limit.nanosPerToken(): Long = (NANOS_PER_SECOND / ratePerSecond).toLong().coerceAtLeast(1)
