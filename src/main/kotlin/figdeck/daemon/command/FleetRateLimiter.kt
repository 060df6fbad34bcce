package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.ownership.HostLease
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.TokenResult
import figdeck.control.takeToken
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Team
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val MIN_RETRY_DELAY = 2.milliseconds
private val OWNER_DELAY = 50.milliseconds

/**
 * How long a request waits before it is refused because of its rate limit.
 *
 * @property token the time limit for a token of the team's bucket, without the time in which no owner answered.
 * @property owner the time limit for reaching an owner of the bucket, while its ownership moves to another host.
 */
internal data class LimitTimeouts(
    val token: Duration = 500.milliseconds,
    val owner: Duration = 1_500.milliseconds,
)

/**
 * Creates the fleet-wide rate limiter. It takes tokens from the buckets that this host owns, from tokens granted to it
 * earlier, or from the owner of the bucket.
 */
internal fun fleetRateLimiter(
    control: Control<ControlState>,
    clock: Clock,
    draws: TokenDrawBatcher,
    timeouts: LimitTimeouts = LimitTimeouts(),
): RateLimiter = RateLimiter { team -> TokenAcquisition(control, clock, draws, timeouts).take(team) }

private class TokenAcquisition(
    private val control: Control<ControlState>,
    private val clock: Clock,
    private val draws: TokenDrawBatcher,
    private val timeouts: LimitTimeouts,
) {
    private val startedAt = clock()

    /** How long no owner answered in time, which says nothing about the team's rate. */
    private var unansweredTime = Duration.ZERO

    suspend fun take(team: Team): Either<Refusal, Unit> {
        var outcome: Either<Refusal, Unit>? = null
        while (outcome == null) {
            val triedAt = clock()
            outcome = when (val result = tryOnce(team)) {
                is DrawResult.Granted -> Unit.right().takeIf { clock() < result.expiresAt }
                is DrawResult.Wait ->
                    delayOrRefuse(
                        result.wait,
                        timeouts.token + unansweredTime,
                        Refusal.RateLimited(team.id, result.wait),
                    )
                DrawResult.NoOwner ->
                    delayOrRefuse(OWNER_DELAY, timeouts.owner, Refusal.LimitUnavailable(team.id))
                        .also { unansweredTime += clock() - triedAt }
            }
        }
        return outcome
    }

    private suspend fun tryOnce(team: Team): DrawResult =
        when (val result = control.run { state, now -> takeToken(state, team, now) }) {
            TokenResult.Taken -> DrawResult.Granted(clock().withoutExpiry())
            is TokenResult.Wait -> DrawResult.Wait(result.wait)
            is TokenResult.AskOwners -> askOwners(team, result.owners)
        }

    private suspend fun askOwners(team: Team, owners: List<HostLease>): DrawResult {
        var result: DrawResult = DrawResult.NoOwner
        for (owner in owners) {
            result = draws.draw(owner, team.id)
            if (result != DrawResult.NoOwner) {
                break
            }
        }
        return result
    }

    /** Waits for [time] and returns null, or returns [refusal] if the wait would exceed [limit] since the start. */
    private suspend fun delayOrRefuse(time: Duration, limit: Duration, refusal: Refusal): Either<Refusal, Unit>? {
        val remaining = limit - (clock() - startedAt)
        val refused = time > remaining
        if (!refused) {
            delay(maxOf(time, MIN_RETRY_DELAY))
        }
        return if (refused) refusal.left() else null
    }

    private fun Moment.withoutExpiry(): Moment = copy(monotonicNanos = Long.MAX_VALUE)
}
