package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.Upstream
import kotlin.time.Duration

/**
 * Work that wants a slot at an upstream.
 *
 * @property team on whose behalf; null on routes open to all.
 * @property weight the team's share of contended capacity.
 * @property cost the expected cost in tokens; 1 for a call of a plain service.
 * @property affinity a hash of the prompt's prefix, equal for prompts that share cached state; null without one.
 * @property deadline when the answer is of no more use.
 * @property isTardy whether it will be late whatever is done; it goes after all work that may still be in time.
 * @property slotTimeUsed how long the work held slots before; it goes on from there.
 * @property attempt how often the same work was sent before; an attempt after the first draws on the retry budget.
 */
public data class DispatchRequest(
    public val candidates: List<Upstream>,
    public val team: TeamId?,
    public val weight: Int,
    public val lane: Lane,
    public val cost: Int,
    public val affinity: Long?,
    public val deadline: Moment,
    public val attempt: Int = 0,
    public val isTardy: Boolean = false,
    public val slotTimeUsed: Duration = Duration.ZERO,
)

/** How the use of a slot ended, for the choice of upstreams later on. */
public enum class SlotOutcome {
    /** The upstream answered. */
    ANSWERED,

    /** The upstream could not be reached, was lost or was too slow. */
    FAILED,

    /** Another upstream answers at its address. */
    GONE,

    /** The holder gave up by itself, or the upstream was full. */
    ABANDONED,
}
