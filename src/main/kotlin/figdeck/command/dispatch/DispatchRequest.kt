package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.serving.ExpectedWork
import kotlin.time.Duration

/**
 * A request for a slot at one of several upstreams.
 *
 * @property team the team that the work runs for, or null on open routes.
 * @property weight the team's share of contended capacity.
 * @property cost the expected cost in tokens, or 1 for a call to a service without tokens.
 * @property affinity a hash of the prompt's prefix, equal for prompts that share cached state, or null without one.
 * @property deadline when the answer becomes useless.
 * @property willMissDeadline whether the work can no longer meet its deadline. It is served after all work that still
 *   can.
 * @property slotTimeUsed how long the work has held slots before. It resumes from the output of that time.
 * @property coldLimits the limits of the candidates that are cold.
 * @property demand the tokens that the work takes in the memory of its engine; null if they are not limited.
 * @property attempt how often the same work was sent before. Every attempt after the first uses the retry budget.
 * @property expected the expected work, which is charged instead of [cost]; null if nothing is known about it.
 * @property placement what placement by expected completion depends on; null where it does not apply.
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
    public val willMissDeadline: Boolean = false,
    public val slotTimeUsed: Duration = Duration.ZERO,
    public val coldLimits: Map<UpstreamId, ColdLimit> = emptyMap(),
    public val expected: ExpectedWork? = null,
    public val placement: PlacementContext? = null,
    public val demand: TokenDemand? = null,
)

/** How the use of a slot ended, from which the health of the upstream is derived. */
public enum class SlotOutcome {
    /** The upstream answered. */
    ANSWERED,

    /** The upstream was unreachable, was lost or was too slow. */
    FAILED,

    /** Another upstream now answers at its address. */
    GONE,

    /** The holder gave up on its own, or the upstream was full. */
    ABANDONED,
}
