package figdeck.command.limit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.Limit
import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The use of a team's limit as a generic cell rate algorithm sees it.
 *
 * @property fullAtNanos the monotonic time at which the bucket is full again (the theoretical arrival time).
 */
public data class TokenBucket(public val fullAtNanos: Long)

/** A full bucket. */
public fun fullBucket(now: Moment): TokenBucket = TokenBucket(now.monotonicNanos)

/** An empty bucket of [shape]: what a new owner assumes, since the previous one may have spent everything. */
public fun emptyBucket(shape: BucketShape, now: Moment): TokenBucket =
    TokenBucket(now.monotonicNanos + shape.capacityNanos)

/** A bucket of [shape] that holds [tokens], or as many as it has room for. */
public fun bucketWith(tokens: Double, shape: BucketShape, now: Moment): TokenBucket {
    val missing = shape.capacityNanos - (tokens * shape.intervalNanos).toLong().coerceIn(0, shape.capacityNanos)
    return TokenBucket(now.monotonicNanos + missing)
}

/** The bucket after [count] tokens are taken, or how long to wait until that many are there. */
public fun TokenBucket.take(count: Int, limit: Limit, now: Moment): Either<Duration, TokenBucket> =
    take(count, limit.plainShape(), now)

/** The bucket after [count] tokens are taken, or how long to wait until that many are there. */
public fun TokenBucket.take(count: Int, shape: BucketShape, now: Moment): Either<Duration, TokenBucket> {
    val taken = maxOf(fullAtNanos, now.monotonicNanos) + count * shape.intervalNanos
    val tooFar = taken - (now.monotonicNanos + shape.capacityNanos)
    return if (tooFar > 0) tooFar.nanoseconds.left() else TokenBucket(taken).right()
}

/** The bucket after [count] tokens that were taken and never spent come back. */
public fun TokenBucket.giveBack(count: Int, shape: BucketShape): TokenBucket =
    TokenBucket(fullAtNanos - count * shape.intervalNanos)

/** The whole tokens that can be taken at once. */
public fun TokenBucket.available(shape: BucketShape, now: Moment): Int {
    val room = now.monotonicNanos + shape.capacityNanos - maxOf(fullAtNanos, now.monotonicNanos)
    return (room / shape.intervalNanos).coerceAtLeast(0).toInt()
}
