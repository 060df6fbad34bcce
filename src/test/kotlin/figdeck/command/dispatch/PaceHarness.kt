package figdeck.command.dispatch

import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.serving.SlotUsage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val START = Moment(0, 0)

/** Runs decisions on a pool of engines with given paces. */
internal class PaceHarness(paces: Map<String, UpstreamPace>, private val slots: Int = 8) {
    val starts = paces.keys.associateWith { 1L }.toMutableMap()
    val policy = DispatchPolicy(choose = mostFreeSlotsChoice, completionChoice = expectedCompletionChoice)
    var state = emptyDispatch(DataCentre("centre-0"))
    private var last = 0L

    init {
        set(paces)
    }

    fun set(paces: Map<String, UpstreamPace>) {
        paces.forEach { (id, pace) ->
            starts.putIfAbsent(id, 1)
            val known = state.stateOf(upstream(id), START)
            state = state.with(known.copy(pace = pace.copy(startedAtMillis = starts.getValue(id))))
        }
    }

    /** Replaces the state of the upstream [id]. */
    fun change(id: String, change: (UpstreamState) -> UpstreamState) {
        state = state.with(change(state.stateOf(upstream(id), START)))
    }

    fun review(now: Moment): PoolPace {
        state = state.reviewPace(request(now), policy, now)
        return state.paces.getValue(pool)
    }

    /** Places a request and returns the upstream that got it, or null if it waits or is refused. */
    fun place(request: DispatchRequest, now: Moment): String? {
        val step = admit(state, Arrival(++last, request, last), policy, now)
        state = step.state
        return step.result.filterIsInstance<DispatchEffect.Granted>().firstOrNull()?.upstream?.id?.value
    }

    /** Runs a request at the upstream [id] and returns the number of requests observed there. */
    fun run(id: String, usage: SlotUsage, now: Moment): Int {
        val request = request(now).copy(candidates = listOf(upstream(id)))
        place(request, now)
        val release = Release(last, SlotOutcome.ANSWERED, usage.outputTokens, last, usage)
        state = release(state, release, policy, now + 1.seconds).state
        return state.upstreams.getValue(UpstreamId(id)).pace.observations
    }

    fun request(
        now: Moment,
        lane: Lane = Lane.ONLINE,
        host: String = "host-0",
        deadline: Duration = 30.seconds,
        isOnlyGranter: Boolean = true,
    ) = DispatchRequest(
        candidates = starts.keys.map { upstream(it) },
        team = TeamId("stado"),
        weight = 1,
        lane = lane,
        cost = 150,
        affinity = null,
        deadline = now + deadline,
        placement = PlacementContext(
            pool = pool,
            host = HostId(host),
            dataCentre = DataCentre("centre-0"),
            isOnlyGranter = isOnlyGranter,
            upstreams = starts.mapKeys { UpstreamId(it.key) },
            tokensPerEvent = TOKENS_PER_EVENT,
            coldTime = 3.seconds,
        ),
    )

    private fun upstream(id: String) = engine(id, slots)
}
