package figdeck.command.dispatch

import figdeck.model.Upstream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val CROSS_CENTRE_ROUND_TRIP = 3.milliseconds

/**
 * A candidate upstream as a [ChoicePolicy] sees it.
 *
 * @property load the slots held or requested by work whose priority is at least that of the request. For an online
 *     request, held batch slots count in part.
 * @property delay the expected wait for a slot, plus the round trip to another data centre.
 * @property free the usable slots that are neither held nor requested by queued online work.
 * @property completion what is expected of the request there; null unless it is placed by expected completion.
 */
public data class UpstreamView(
    public val upstream: Upstream,
    public val load: Double,
    public val delay: Duration,
    public val free: Int = 0,
    public val completion: CompletionView? = null,
)

/**
 * What is expected of a request at a candidate upstream.
 *
 * @property relativePace the time per output token relative to the median of the pool.
 * @property expectedTime the time until the request is complete, with the wait and the way to another data centre.
 * @property isInTime whether the request is likely to be complete before its deadline.
 * @property slotWait the time until a slot is free for the request.
 * @property remainingWork the time that the running requests still need, summed; 0 where no choice depends on it.
 */
public data class CompletionView(
    public val relativePace: Double,
    public val expectedTime: Duration,
    public val isInTime: Boolean,
    public val slotWait: Duration,
    public val remainingWork: Duration,
)

/** Picks one of the views, which are never empty. The `seed` makes random choices reproducible. */
public typealias ChoicePolicy = (views: List<UpstreamView>, request: DispatchRequest, seed: Long) -> UpstreamView

/** Picks the request to serve next from a non-empty queue. */
public typealias OrderPolicy = (LaneQueue) -> QueuedRequest

/**
 * Configures how slots are assigned.
 *
 * @property onlineQueuePerSlot the maximum number of queued online requests per slot.
 * @property batchQueuePerSlot the maximum number of queued batch requests per slot.
 * @property deadlineMargin how many average slot holding times must remain before the deadline of online work that has
 *     to wait.
 * @property crossCentreRoundTrip the round-trip time to another data centre.
 * @property completionChoice the choice for pools whose upstreams differ in pace; null to use [choose] for all.
 * @property shareByHeldWork whether online work with an expectation that finds no free slot in its pool is served, or
 *     refused, by the work that its team already holds there.
 */
public data class DispatchPolicy(
    public val choose: ChoicePolicy = prefixAffinityChoice,
    public val order: OrderPolicy = ::fairShareOrder,
    public val headroom: HeadroomPolicy = HeadroomPolicy(),
    public val onlineQueuePerSlot: Int = 8,
    public val batchQueuePerSlot: Int = 4,
    public val deadlineMargin: Double = 2.0,
    public val crossCentreRoundTrip: Duration = CROSS_CENTRE_ROUND_TRIP,
    public val completionChoice: ChoicePolicy? = null,
    public val shareByHeldWork: Boolean = false,
)
