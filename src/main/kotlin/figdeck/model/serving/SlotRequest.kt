package figdeck.model.serving

import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Region
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import kotlin.time.Duration

/**
 * A request for a slot at an upstream of [pool].
 *
 * @property ticket identifies the slot; chosen by the requesting host and used only once.
 * @property cost the expected number of tokens; 1 for a call to a plain service.
 * @property affinity a hash of the prompt prefix that is shared with other requests; null if there is none.
 * @property excluded the upstreams that already failed this request.
 * @property maxWait the maximum time to wait for a slot.
 * @property age how long ago the work counts as submitted; older batch work of a team runs first.
 * @property willMissDeadline whether the work will miss its deadline even if it starts now.
 * @property slotTimeUsed how long earlier runs of the work held slots.
 * @property homes the regions whose upstreams may run the work; null for all.
 * @property features what the work tells about its size; null if it tells nothing.
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
    public val homes: Set<Region>? = null,
    public val features: WorkFeatures? = null,
)

/** The response to a [SlotRequest]. */
public sealed interface SlotResponse {
    /** A slot was granted at [upstream]. */
    public data class Granted(public val upstream: UpstreamId) : SlotResponse

    /** No slot is available; the host can ask again after [retryAfter]. */
    public data class Full(public val retryAfter: Duration) : SlotResponse

    /** No upstream of the pool accepts work. */
    public data object NoUpstream : SlotResponse
}

/** A slot that its holder is still using. */
public data class HeldSlot(
    public val request: SlotRequest,
    public val upstream: UpstreamId,
)
