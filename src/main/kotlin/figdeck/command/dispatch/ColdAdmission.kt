package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.UpstreamId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether the cold limit, if one applies at [now], has a token for another slot. */
internal fun UpstreamState.hasToken(now: Moment): Boolean =
    cold == null || !cold.isActive(now) || cold.wholeTokens(now) > 0

/** Whether requests are queued at an upstream that was cold when it was last used. */
internal val DispatchState.awaitsTokens: Boolean
    get() = upstreams.values.any { upstream ->
        upstream.cold != null && Lane.entries.any { upstream.queue(it).waiting.isNotEmpty() }
    }

/** The slots that may be granted at [now]: usable ones that are not held, at most as many as there are tokens. */
internal fun UpstreamState.grantableSlots(now: Moment): Int {
    val open = usableSlots(now) - occupiedSlots
    return if (cold != null && cold.isActive(now)) minOf(open, cold.wholeTokens(now)) else open
}

/** How long the cold limit makes a new request of [lane] wait that has [ahead] queued ones before it. */
internal fun UpstreamState.tokenWait(lane: Lane, ahead: Int, now: Moment): Duration {
    val needed = ahead + 1 + if (lane == Lane.BATCH) online.waiting.size else 0
    return cold?.timeToTokens(needed, now) ?: Duration.ZERO
}

/** The interval at which this upstream takes requests of [lane] that return after [lastReturnAt]. */
internal fun UpstreamState.returnPace(lane: Lane, lastReturnAt: Moment): Duration {
    val slotPace = queue(lane).averageHold / upstream.slots
    val tokenPace = cold?.takeIf { it.isActive(lastReturnAt) }?.let { (1 / it.limit.requestsPerSecond).seconds }
    return if (tokenPace == null) slotPace else maxOf(slotPace, tokenPace)
}

/** Counts the request of [arrival] if only cold limits kept it from a free slot in [step]. */
internal fun countHeldBack(step: DispatchStep, arrival: Arrival, now: Moment): DispatchStep {
    val isGranted = step.result.any { it is DispatchEffect.Granted && it.ticket == arrival.ticket }
    val isHeldBack = !isGranted && arrival.request.candidates.any { step.state.stateOf(it, now).lacksOnlyToken(now) }
    return if (isHeldBack) Step(step.state.copy(heldBack = step.state.heldBack + 1), step.result) else step
}

private fun UpstreamState.lacksOnlyToken(now: Moment): Boolean =
    !hasToken(now) && usableSlots(now) > occupiedSlots

/** Applies [limits] to the upstreams that have just become cold, so that they also bind the requests queued there. */
public fun limitCold(state: DispatchState, limits: Map<UpstreamId, ColdLimit>, now: Moment): DispatchState =
    limits.entries.fold(state) { current, (id, limit) ->
        val known = current.upstreams[id]
        if (known == null) current else current.with(known.limitedBy(limit, now))
    }

/** This upstream under [limit]. What it runs until the limit ends tells nothing about its pace when it is warm. */
internal fun UpstreamState.limitedBy(limit: ColdLimit?, now: Moment): UpstreamState {
    val bucket = cold.limitedBy(limit, now)
    return copy(cold = bucket, pace = if (bucket == null) pace else pace.coldUntil(bucket.limit.until))
}

/** Lifts the limits of [upstreams], which have turned out not to be cold, also for the requests queued there. */
public fun liftCold(state: DispatchState, upstreams: Collection<UpstreamId>): DispatchState =
    upstreams.fold(state) { current, id ->
        val known = current.upstreams[id]
        if (known?.cold == null) current else current.with(known.copy(cold = null))
    }
