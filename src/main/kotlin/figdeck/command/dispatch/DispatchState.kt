package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.DataCentre
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

private const val BATCH_SLOT_LOAD = 0.25

/**
 * The slots and queues of the upstreams whose slots this host assigns.
 *
 * @property tickets the upstream at which each queued or running ticket is registered.
 * @property heldBack how many requests found a free slot that only a cold limit kept from them.
 * @property heldBackByRate how many requests found a free slot that an advertised limit kept from them.
 * @property paces the latest comparison of the upstreams of each pool that may be placed by expected completion.
 */
public data class DispatchState(
    public val dataCentre: DataCentre?,
    public val upstreams: PersistentMap<UpstreamId, UpstreamState>,
    public val tickets: PersistentMap<Long, UpstreamId>,
    public val retryBudget: RetryBudget,
    public val heldBack: Long = 0,
    public val heldBackByRate: Long = 0,
    public val paces: PersistentMap<PoolName, PoolPace> = persistentMapOf(),
)

/** The new state and the effects of a dispatch decision. */
public typealias DispatchStep = Step<DispatchState, List<DispatchEffect>>

/** The initial state of a host in [dataCentre]. */
public fun emptyDispatch(dataCentre: DataCentre? = null): DispatchState =
    DispatchState(dataCentre, persistentMapOf(), persistentMapOf(), fullRetryBudget)

/** The state of [upstream], which is idle if it isn't registered. */
public fun DispatchState.stateOf(upstream: Upstream, now: Moment): UpstreamState =
    upstreams[upstream.id] ?: idleUpstream(upstream, now)

/** This state with the state of one upstream replaced. */
internal fun DispatchState.with(state: UpstreamState): DispatchState =
    copy(upstreams = upstreams.put(state.upstream.id, state))

/** The views of the candidates of [request] that admit work at [now]. */
internal fun DispatchState.candidateViews(
    request: DispatchRequest,
    policy: DispatchPolicy,
    now: Moment,
): List<UpstreamView> {
    val pace = activePace(request, policy)
    return request.candidates
        .map { stateOf(it, now) }
        .filter { it.usableSlots(now) > 0 && !(it.health.isProbing && it.occupiedSlots > 0) }
        .map { if (pace == null) viewOf(it, request, policy, now) else it.completionView(pace, request, policy, now) }
}

private fun DispatchState.viewOf(
    state: UpstreamState,
    request: DispatchRequest,
    policy: DispatchPolicy,
    now: Moment,
): UpstreamView {
    val roundTrip = if (state.upstream.dataCentre == dataCentre) Duration.ZERO else policy.crossCentreRoundTrip
    val load = state.loadFor(request.lane)
    val free = state.grantableSlots(request.lane, now) - state.online.waiting.size
    val usable = if (state.hasTokensFor(request)) free else minOf(free, 0)
    return UpstreamView(state.upstream, load, state.expectedWait(request, now) + roundTrip, usable)
}

/** This state after [step] on one of its upstreams, without the tickets that the step refused. */
internal fun DispatchState.after(step: UpstreamStep): DispatchState {
    val refused = step.result.filterIsInstance<DispatchEffect.Refused>().map { it.ticket }
    return copy(tickets = refused.fold(tickets) { left, ticket -> left.remove(ticket) }).with(step.state)
}

/** How long before its deadline work of [lane] must start. The deadline of batch items covers only their wait. */
internal fun LaneQueue.requiredTime(lane: Lane, policy: DispatchPolicy): Duration = when (lane) {
    Lane.ONLINE -> averageHold * policy.deadlineMargin
    Lane.BATCH -> Duration.ZERO
}

/** The expected wait of [request] for a slot. */
internal fun UpstreamState.expectedWait(request: DispatchRequest, now: Moment): Duration {
    val blockingSlots = if (request.lane == Lane.ONLINE) heldSlots(Lane.ONLINE) else occupiedSlots
    val ahead = queue(request.lane).requestsAhead(request.team)
    val free = usableSlots(now) - blockingSlots
    val isFree = ahead < free && hasTokensFor(request)
    val slotWait = if (isFree) Duration.ZERO else queue(request.lane).averageHold * (ahead + 1) / upstream.slots
    return maxOf(slotWait, tokenWait(request.lane, ahead, now))
}

private fun UpstreamState.loadFor(lane: Lane): Double = when (lane) {
    Lane.ONLINE -> heldSlots(Lane.ONLINE) + online.waiting.size + BATCH_SLOT_LOAD * heldSlots(Lane.BATCH)
    Lane.BATCH -> (occupiedSlots + online.waiting.size + batch.waiting.size).toDouble()
}
