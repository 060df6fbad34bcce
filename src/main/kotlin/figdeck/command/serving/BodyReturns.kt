package figdeck.command.serving

import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long a body that takes all memory for large ones keeps it, about. */
private val HOLD_OF_ALL = 1.seconds
private val MIN_RETRY_AFTER = 1.seconds

/** The part of the time until its deadline that a caller waits before it returns. */
private const val WAIT_PARTS = 2

/**
 * Returns when the caller of a body that found no room is told to return. If all callers of a burst returned at the
 * same time, most would be refused again, so each returns after the one before, at the pace at which memory is freed.
 *
 * @param lastReturnAt when the caller that was refused before this one returns; null if there was none.
 * @param timeLeft the time until the caller's deadline.
 */
public fun bodyRetryAfter(
    demand: BodyDemand,
    limits: BodyMemoryLimits,
    lastReturnAt: Moment?,
    timeLeft: Duration,
    now: Moment,
): Duration {
    val share = (demand.memory.toDouble() / limits.large).coerceAtMost(1.0)
    val paced = lastReturnAt?.let { it + HOLD_OF_ALL * share - now } ?: Duration.ZERO
    return maxOf(MIN_RETRY_AFTER, paced.coerceAtMost(timeLeft / WAIT_PARTS))
}
