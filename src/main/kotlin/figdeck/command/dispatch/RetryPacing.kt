package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Refusal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Callers wait no longer than a part of their own deadline before they return. */
private val MAX_RETRY_AFTER = 2.seconds

/**
 * Refuses [ticket] for [cause] at this upstream and tells its caller to return after [earliest] or later.
 *
 * It answers a burst that exceeds the capacity for longer than its callers can wait. If all of them returned at the
 * same time, most would be refused again, and callers return only once or twice. So each refusal promises a return one
 * slot's share of the holding time after the one before, which is the pace at which the upstream frees slots, or one
 * token later if the upstream is limited. Without a burst the last promise is in the past and [earliest] alone counts.
 * Batch work repeats its requests by itself and is not paced. A host with a small part of the upstream's rate doesn't
 * make callers wait for its own next token, since other hosts may have theirs sooner.
 */
internal fun UpstreamState.refuse(ticket: Long, cause: SlotRefusal, earliest: Duration, now: Moment): UpstreamStep {
    val lane = cause.lane
    val wait = if (rate?.limit?.isOwnPart == true) earliest.coerceAtMost(MAX_RETRY_AFTER) else earliest
    val retryAfter = maxOf(wait, timeToNextReturn(lane, now).coerceAtMost(MAX_RETRY_AFTER))
    val refusal = Refusal.Overloaded("upstream '${upstream.id}'", retryAfter)
    return Step(
        if (lane == Lane.ONLINE) copy(lastReturnAt = now + retryAfter) else this,
        listOf(DispatchEffect.Refused(ticket, refusal, cause)),
    )
}

/**
 * Refuses [arrival], for which no candidate has a token in time, at the one to which its caller can return first.
 * Callers return at the rate of all candidates together then, and not at that of a single one.
 */
internal fun refuseForTokens(
    state: DispatchState,
    arrival: Arrival,
    policy: DispatchPolicy,
    now: Moment
): DispatchStep {
    val request = arrival.request
    val first = request.candidates.map { state.stateOf(it, now) }
        .filter { it.usableSlots(now) > 0 }
        .minBy { maxOf(it.expectedWait(request, now), it.timeToNextReturn(request.lane, now)) }
    val late = first.expectedWait(request, now) + first.queue(request.lane).requiredTime(request.lane, policy)
    val cause = request.refusedFor(RefusalReason.LATE_IN_QUEUE)
    val step = first.refuse(arrival.ticket, cause, late - (request.deadline - now), now)
    return Step(state.with(step.state), step.result)
}

/** The time until another caller can be told to return. */
private fun UpstreamState.timeToNextReturn(lane: Lane, now: Moment): Duration =
    lastReturnAt?.takeIf { lane == Lane.ONLINE }?.let { it + returnPace(lane, it) - now } ?: Duration.ZERO

/**
 * Refuses [arrival], which has waited for as long as its caller can wait and holds no slot. Its caller is told to
 * return when a new request would get a slot at the candidate with the shortest queue.
 */
public fun refuseOverdue(state: DispatchState, arrival: Arrival, now: Moment): DispatchStep {
    val request = arrival.request
    val shortest = request.candidates.map { state.stateOf(it, now) }.minByOrNull { it.expectedWait(request, now) }
    return if (shortest == null) {
        Step(state, emptyList())
    } else {
        val cause = request.refusedFor(RefusalReason.OVERDUE)
        val step = shortest.refuse(arrival.ticket, cause, shortest.expectedWait(request, now), now)
        Step(state.with(step.state), step.result)
    }
}
