package figdeck.model.serving

import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import kotlin.time.Duration

/**
 * A question for a slot at an upstream of [pool].
 *
 * @property ticket names the slot; chosen by the host that asks, and used once.
 * @property cost the expected tokens; 1 for a call of a plain service.
 * @property affinity a hash of the prompt's shared beginning; null without one.
 * @property excluded upstreams that failed this request already.
 * @property maxWait how long to wait for a slot.
 * @property age how much earlier than now the work counts as submitted; older batch work of a team goes first.
 * @property willMissDeadline whether the work will be late whatever is done.
 * @property slotTimeUsed how long the work held slots before.
 */
public data class SlotRequest(
    public val ticket: Long,
    public val from: HostId,
    public val pool: PoolName,
    public val team: TeamId?,
    public val lane: Lane,
    public val cost: Int,
    public val affinity: Long?,
    public val excluded: Set<UpstreamId>,
    public val maxWait: Duration,
    public val age: Duration = Duration.ZERO,
    public val willMissDeadline: Boolean = false,
    public val slotTimeUsed: Duration = Duration.ZERO,
)

/** The answer to a [SlotRequest]. */
public sealed interface SlotResponse {
    /** The slot is at [upstream]. */
    public data class Granted(public val upstream: UpstreamId) : SlotResponse

    /** There is none now; [retryAfter] tells when to ask again. */
    public data class Full(public val retryAfter: Duration) : SlotResponse

    /** No upstream of the pool takes work. */
    public data object NoUpstream : SlotResponse
}

/** A slot that its holder still uses. */
public data class HeldSlot(
    public val request: SlotRequest,
    public val upstream: UpstreamId,
)
