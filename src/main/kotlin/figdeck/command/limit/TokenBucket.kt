package figdeck.command.limit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.Limit
import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A token bucket as a generic cell rate algorithm (GCRA) tracks it.
 *
 * @property fullAtNanos the monotonic time at which the bucket is full again (the theoretical arrival time).
 */
public data class TokenBucket(public val fullAtNanos: Long)

/** A full bucket. */
public fun fullBucket(now: Moment): TokenBucket = TokenBucket(now.monotonicNanos)

/** An empty bucket. A new owner starts with it, since the previous owner may have granted all tokens. */
public fun emptyBucket(parameters: BucketParameters, now: Moment): TokenBucket =
    TokenBucket(now.monotonicNanos + parameters.capacityNanos)

/** A bucket that holds [tokens], limited to its capacity. */
public fun bucketHolding(tokens: Double, parameters: BucketParameters, now: Moment): TokenBucket {
    val missing = parameters.capacityNanos -
        (tokens * parameters.emissionIntervalNanos).toLong().coerceIn(0, parameters.capacityNanos)
    return TokenBucket(now.monotonicNanos + missing)
}

/** The bucket after [count] tokens are taken, or the wait until that many are available. */
public fun TokenBucket.take(count: Int, limit: Limit, now: Moment): Either<Duration, TokenBucket> =
    take(count, limit.localParameters(), now)

/** The bucket after [count] tokens are taken, or the wait until that many are available. */
public fun TokenBucket.take(count: Int, parameters: BucketParameters, now: Moment): Either<Duration, TokenBucket> {
    val taken = maxOf(fullAtNanos, now.monotonicNanos) + count * parameters.emissionIntervalNanos
    val excessNanos = taken - (now.monotonicNanos + parameters.capacityNanos)
    return if (excessNanos > 0) excessNanos.nanoseconds.left() else TokenBucket(taken).right()
}

/** The bucket after a refund of [count] tokens that were taken but never spent. */
public fun TokenBucket.refund(count: Int, parameters: BucketParameters): TokenBucket =
    TokenBucket(fullAtNanos - count * parameters.emissionIntervalNanos)

/** The number of whole tokens that can be taken at [now]. */
public fun TokenBucket.available(parameters: BucketParameters, now: Moment): Int {
    val room = now.monotonicNanos + parameters.capacityNanos - maxOf(fullAtNanos, now.monotonicNanos)
    return (room / parameters.emissionIntervalNanos).coerceAtLeast(0).toInt()
}
