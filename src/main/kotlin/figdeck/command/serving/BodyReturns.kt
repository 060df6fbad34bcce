package figdeck.command.serving

import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long a body that takes all memory of its share keeps it, about. */
private val FULL_SHARE_HOLD_TIME = 1.seconds
private val MIN_RETRY_AFTER = 1.seconds

/** A caller waits at most this part of the time until its deadline. */
private const val MAX_WAIT_SHARE = 0.5

/**
 * Returns when the caller of a body that found no room is told to return. If all callers of a burst returned at the
 * same time, most would be refused again, so each returns after the one before, at the pace at which memory is freed.
 *
 * @param lastReturnAt when the last of the callers that were refused returns; null if there was none.
 * @param timeLeft the time until the caller's deadline.
 */
public fun bodyRetryAfter(
    demand: BodyDemand,
    limits: BodyMemoryLimits,
    lastReturnAt: Moment?,
    timeLeft: Duration,
    now: Moment,
): Duration {
    val share = (demand.memory.toDouble() / limits.of(demand.mainShare)).coerceAtMost(1.0)
    val paced = lastReturnAt?.let { it + FULL_SHARE_HOLD_TIME * share - now } ?: Duration.ZERO
    return maxOf(MIN_RETRY_AFTER, paced.coerceAtMost(timeLeft * MAX_WAIT_SHARE))
}
