package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Upstream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val NANOS_PER_SECOND = 1e9

/**
 * An upstream and its limit.
 *
 * @property limit null if the upstream is not limited.
 */
public data class LimitedUpstream(
    public val upstream: Upstream,
    public val limit: RateLimit?,
)

/** Puts the advertised limits of [upstreams] in force, also for the requests that are queued there. */
public fun limitRates(state: DispatchState, upstreams: List<LimitedUpstream>, now: Moment): DispatchState =
    upstreams.fold(state) { current, (upstream, limit) ->
        val known = current.upstreams[upstream.id]
        val next = if (limit == null) {
            known?.copy(rate = null)
        } else {
            val registered = current.registeredStateOf(upstream, now)
            registered.copy(rate = registered.rate.limitedTo(limit, now))
        }
        if (next == null || next == known) current else current.with(next)
    }

/** Whether the upstream was limited when it was last used. */
internal val UpstreamState.isLimited: Boolean get() = cold != null || rate != null

/** Whether the limits that apply at [now] leave a token for another slot of [lane]. */
internal fun UpstreamState.hasToken(lane: Lane, now: Moment): Boolean = hasColdToken(now) && hasRateToken(lane, now)

private fun UpstreamState.hasColdToken(now: Moment): Boolean =
    cold == null || !cold.isActive(now) || cold.wholeTokens(now) > 0

private fun UpstreamState.hasRateToken(lane: Lane, now: Moment): Boolean =
    rate == null || rate.wholeTokens(now) > rate.tokensLeftBy(lane)

/** Whether requests are queued at an upstream that was limited when it was last used. */
internal val DispatchState.awaitsTokens: Boolean
    get() = upstreams.values.any { upstream ->
        upstream.isLimited && Lane.entries.any { upstream.queue(it).waiting.isNotEmpty() }
    }

/** The slots that [lane] may get at [now]: usable ones that are not held, at most as many as there are tokens. */
internal fun UpstreamState.grantableSlots(lane: Lane, now: Moment): Int {
    val open = usableSlots(now) - occupiedSlots
    val ofCold = if (cold != null && cold.isActive(now)) minOf(open, cold.wholeTokens(now)) else open
    return if (rate == null) ofCold else minOf(ofCold, rate.wholeTokens(now) - rate.tokensLeftBy(lane))
}

/** How long the limits make a new request of [lane] wait that has [ahead] queued ones before it. */
internal fun UpstreamState.tokenWait(lane: Lane, ahead: Int, now: Moment): Duration {
    val needed = ahead + 1 + if (lane == Lane.BATCH) online.waiting.size else 0
    val ofCold = cold?.timeToTokens(needed, now) ?: Duration.ZERO
    return if (rate == null) ofCold else maxOf(ofCold, rate.timeToTokens(needed + rate.tokensLeftBy(lane), now))
}

/** The interval at which this upstream takes requests of [lane] that return after [lastReturnAt]. */
internal fun UpstreamState.returnPace(lane: Lane, lastReturnAt: Moment): Duration {
    val limits = listOfNotNull(
        cold?.takeIf { it.isActive(lastReturnAt) }?.limit?.requestsPerSecond,
        rate?.limit?.requestsPerSecond,
    )
    val slotPace = queue(lane).averageHold / upstream.slots
    return limits.maxOfOrNull { (1 / it).seconds }?.let { maxOf(slotPace, it) } ?: slotPace
}

/** How many online requests the upstream can take per nanosecond. */
internal fun UpstreamState.onlinePerNano(now: Moment): Double {
    val bySlots = usableSlots(now) / online.averageHold.inWholeNanoseconds.toDouble()
    return if (rate == null) bySlots else minOf(bySlots, rate.limit.requestsPerSecond / NANOS_PER_SECOND)
}

/** Counts the request of [arrival] if only limits kept it from a free slot in [step]. */
internal fun countHeldBack(step: DispatchStep, arrival: Arrival, now: Moment): DispatchStep {
    val state = step.state
    val isGranted = step.result.any { it is DispatchEffect.Granted && it.ticket == arrival.ticket }
    val free = if (isGranted) {
        emptyList()
    } else {
        arrival.request.candidates.map { state.stateOf(it, now) }.filter { it.usableSlots(now) > it.occupiedSlots }
    }
    val byCold = free.any { !it.hasColdToken(now) }
    val byRate = free.any { !it.hasRateToken(arrival.request.lane, now) }
    return if (byCold || byRate) {
        val counted = state.copy(
            heldBack = state.heldBack + if (byCold) 1 else 0,
            heldBackByRate = state.heldBackByRate + if (byRate) 1 else 0,
        )
        Step(counted, step.result)
    } else {
        step
    }
}

/** The tokens that [lane] leaves: batch work takes one only of a full bucket, so that online work has the others. */
private fun RateBucket.tokensLeftBy(lane: Lane): Int = if (lane == Lane.BATCH) limit.capacity.toInt() - 1 else 0
