package figdeck.command.limit

import figdeck.model.Limit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

private const val NANOS_PER_SECOND = 1e9

/** The lifetime of a grant is the time in which a full bucket refills, divided by this number. */
private const val GRANT_LIFETIME_DIVISOR = 4
private val MIN_GRANT_LIFETIME = 20.milliseconds
private val MAX_GRANT_LIFETIME = 100.milliseconds

/**
 * The parameters of a token bucket, as durations of the generic cell rate algorithm.
 *
 * @property emissionIntervalNanos the time in which one token is refilled.
 * @property capacityNanos the time in which an empty bucket fills.
 * @property grantLifetime how long granted tokens may be spent, counted from the sending of the request for them.
 */
public data class BucketParameters(
    public val emissionIntervalNanos: Long,
    public val capacityNanos: Long,
    public val grantLifetime: Duration,
)

/** The parameters of a bucket whose tokens are spent as soon as they are taken. */
public fun Limit.localParameters(): BucketParameters =
    BucketParameters(nanosPerToken(), burst * nanosPerToken(), Duration.ZERO)

/**
 * The parameters of a bucket whose tokens are spent up to [BucketParameters.grantLifetime] after they were taken.
 * Reducing the capacity by that time ensures that no time window sees more than rate x time + burst tokens spent. If
 * the burst is too small for this reduction, the emission interval becomes longer instead.
 */
public fun Limit.grantParameters(): BucketParameters {
    val uncappedNanos = nanosPerToken() * burst / GRANT_LIFETIME_DIVISOR
    val lifetime = uncappedNanos.nanoseconds.coerceIn(MIN_GRANT_LIFETIME, MAX_GRANT_LIFETIME)
    val lifetimeNanos = lifetime.inWholeNanoseconds
    return if (burst == 1) {
        BucketParameters(nanosPerToken() + lifetimeNanos, nanosPerToken() + lifetimeNanos, lifetime)
    } else {
        val interval = maxOf(nanosPerToken(), (lifetimeNanos + burst - 2) / (burst - 1))
        BucketParameters(interval, burst * interval - lifetimeNanos, lifetime)
    }
}

private fun Limit.nanosPerToken(): Long = (NANOS_PER_SECOND / ratePerSecond).toLong().coerceAtLeast(1)
