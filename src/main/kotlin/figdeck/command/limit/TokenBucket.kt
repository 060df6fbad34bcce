package figdeck.command.limit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.Limit
import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

private const val NANOS_PER_SECOND = 1e9

/**
 * The use of a team's limit as a generic cell rate algorithm sees it.
 *
 * @property fullAtNanos the monotonic time at which the bucket is full again (the theoretical arrival time).
 */
public data class TokenBucket(public val fullAtNanos: Long)

/** A full bucket. */
public fun fullBucket(now: Moment): TokenBucket = TokenBucket(now.monotonicNanos)

/** An empty bucket: what a new owner assumes, since the previous one may have spent everything. */
public fun emptyBucket(limit: Limit, now: Moment): TokenBucket =
    TokenBucket(now.monotonicNanos + limit.burst * limit.nanosPerToken())

/** The bucket after [count] tokens are taken, or how long to wait until that many are there. */
public fun TokenBucket.take(count: Int, limit: Limit, now: Moment): Either<Duration, TokenBucket> {
    val interval = limit.nanosPerToken()
    val taken = maxOf(fullAtNanos, now.monotonicNanos) + count * interval
    val tooFar = taken - (now.monotonicNanos + limit.burst * interval)
    return if (tooFar > 0) tooFar.nanoseconds.left() else TokenBucket(taken).right()
}

/** The whole tokens that can be taken at once. */
public fun TokenBucket.available(limit: Limit, now: Moment): Int {
    val interval = limit.nanosPerToken()
    val room = now.monotonicNanos + limit.burst * interval - maxOf(fullAtNanos, now.monotonicNanos)
    return (room / interval).coerceAtLeast(0).toInt()
}

private fun Limit.nanosPerToken(): Long = (NANOS_PER_SECOND / ratePerSecond).toLong().coerceAtLeast(1)
