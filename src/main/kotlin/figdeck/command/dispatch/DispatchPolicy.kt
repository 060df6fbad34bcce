package figdeck.command.dispatch

import figdeck.model.Upstream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val CROSS_CENTRE_ROUND_TRIP = 3.milliseconds

/**
 * An upstream as the choice among candidates sees it.
 *
 * @property load the slots that are held or wanted by work of at least the request's urgency.
 * @property delay how long the request would wait there, with the way to another data centre.
 * @property free the slots that nothing holds or waits for.
 */
public data class UpstreamView(
    public val upstream: Upstream,
    public val load: Double,
    public val delay: Duration,
    public val free: Int = 0,
)

/** Chooses one of the views, of which there is at least one; `draw` makes random choices repeatable. */
public typealias ChoicePolicy = (views: List<UpstreamView>, request: DispatchRequest, seed: Long) -> UpstreamView

/** Chooses whom to serve next from a queue that is not empty. */
public typealias OrderPolicy = (LaneQueue) -> QueuedRequest

/**
 * How slots are given out.
 *
 * @property onlineQueuePerSlot how many online requests may wait for each slot.
 * @property batchQueuePerSlot how many batch requests may wait for each slot.
 * @property deadlineMargin how many average holding times must be left before the deadline of work that had to wait.
 * @property crossCentreRoundTrip what the way to another data centre and back costs.
 */
public data class DispatchPolicy(
    public val choose: ChoicePolicy = prefixAffinityChoice,
    public val order: OrderPolicy = ::fairShareOrder,
    public val headroom: HeadroomPolicy = HeadroomPolicy(),
    public val onlineQueuePerSlot: Int = 8,
    public val batchQueuePerSlot: Int = 4,
    public val deadlineMargin: Double = 2.0,
    public val crossCentreRoundTrip: Duration = CROSS_CENTRE_ROUND_TRIP,
)
