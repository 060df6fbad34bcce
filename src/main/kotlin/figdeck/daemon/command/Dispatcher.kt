package figdeck.daemon.command

import arrow.core.Either
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.Upstream
import kotlinx.coroutines.Deferred

/**
 * Work that wants a slot at an upstream.
 *
 * @property team on whose behalf; null on routes open to all.
 * @property weight the team's share of contended capacity.
 * @property cost the expected cost in tokens; 1 for a call of a plain service.
 * @property affinity a hash of the prompt's prefix, equal for prompts that share cached state; null without one.
 * @property deadline when the answer is of no more use.
 */
public data class DispatchRequest(
    public val candidates: List<Upstream>,
    public val team: TeamId?,
    public val weight: Int,
    public val lane: Lane,
    public val cost: Int,
    public val affinity: Long?,
    public val deadline: Moment,
)

/**
 * A slot at an upstream, held until it is released.
 *
 * @property revoked completes when the holder must give the slot back at once, which happens to batch work alone.
 */
public data class Permit(
    public val id: Long,
    public val upstream: Upstream,
    public val revoked: Deferred<Unit>,
)

/** How the use of a slot ended, for the choice of upstreams later on. */
public enum class UseResult {
    /** The upstream answered. */
    ANSWERED,

    /** The upstream could not be reached, was lost or was too slow. */
    FAILED,

    /** The holder gave up by itself. */
    ABANDONED,
}

/**
 * The choice of upstreams and the queues before them.
 *
 * @property acquire waits for a slot at one of the candidates.
 * @property release gives it back, with the tokens that it really cost.
 */
public data class Dispatcher(
    public val acquire: suspend (DispatchRequest) -> Either<Refusal, Permit>,
    public val release: suspend (Permit, UseResult, cost: Int) -> Unit,
)
