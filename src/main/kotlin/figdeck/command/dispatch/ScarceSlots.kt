package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.UpstreamId
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Whether slots are shared by held work for this request, if [DispatchPolicy.shareByHeldWork] is set. A request that
 * resumes started work goes before all others and is not refused for them.
 */
internal val DispatchRequest.sharesByHeldWork: Boolean
    get() = lane == Lane.ONLINE && expected != null && slotTimeUsed == Duration.ZERO

/**
 * Queues [arrival] at [chosen] as long as all that wait for a slot of the pool can get one in time. Otherwise refuses
 * the request that would be served last, which may be the new one. A team that is far beyond its share may have no
 * request wait behind those of others, since teams below their share would pass it until it is too late.
 *
 * The estimate from the queue of one upstream refuses whoever comes last. The queued requests of one team then shut out
 * the others, and a team that holds most of the slots is treated like one that holds none.
 */
internal fun placeByHeldWork(
    state: DispatchState,
    chosen: UpstreamState,
    arrival: Arrival,
    now: Moment,
    enqueue: (DispatchState) -> DispatchStep,
): DispatchStep {
    val request = arrival.request
    val waiting = request.candidates.mapNotNull { state.upstreams[it.id] }.flatMap { it.contenders() }
    val held = state.heldWork(request.candidates)
    val last = (waiting + Contender(arrival.ticket, request, chosen.upstream.id)).lastServed(held)
    val isNew = last.ticket == arrival.ticket
    val isBeyondShare = isNew && waiting.isNotEmpty() && held.isFarBeyondShare(request.team)
    val wait = state.poolWait(request, waiting.size + 1, now)
    return when {
        now + wait <= last.request.deadline && !isBeyondShare -> enqueue(state)
        isNew -> {
            val reason = if (isBeyondShare) RefusalReason.FAR_BEYOND_SHARE else RefusalReason.LAST_BY_HELD_WORK
            val step = chosen.refuseAfter(last, reason, wait, now)
            Step(state.with(step.state), step.result)
        }
        else -> {
            val refused = state.upstreams.getValue(last.at).withoutTicket(last.ticket)
                .refuseAfter(last, RefusalReason.LAST_BY_HELD_WORK, wait, now)
            val placed = enqueue(state.after(refused))
            Step(placed.state, refused.result + placed.result)
        }
    }
}

/**
 * The state with the requests that get the free slots of [id] moved there, and the order in which they get them: the
 * request first whose team holds the least work, wherever in the pool it waits.
 */
internal fun takeByHeldWork(
    state: DispatchState,
    id: UpstreamId,
    policy: DispatchPolicy,
    now: Moment,
): Pair<DispatchState, OrderPolicy> {
    val here = state.upstreams.getValue(id)
    val free = here.grantableSlots(Lane.ONLINE, now)
    val canTake = policy.shareByHeldWork && here.cold == null && free > 0
    val waiting = if (canTake) state.waitingFor(here) else emptyList()
    if (waiting.isEmpty()) {
        return state to policy.order
    }
    val held = HashMap(state.heldWork(waiting.first().request.candidates))
    val left = waiting.toMutableList()
    val ranks = HashMap<Long, Int>()
    var moved = state
    while (ranks.size < free && left.isNotEmpty()) {
        val next = left.firstServed(held)
        left -= next
        ranks[next.ticket] = ranks.size
        held.merge(next.request.team, next.request.workPerWeight, Double::plus)
        moved = moved.moveWaiting(next, id)
    }
    return moved to { queue ->
        val others = queue.waiting.filter { !it.request.sharesByHeldWork }.toPersistentList()
        if (others.isEmpty()) {
            queue.waiting.minBy { ranks[it.ticket] ?: Int.MAX_VALUE }
        } else {
            policy.order(queue.copy(waiting = others))
        }
    }
}

private fun DispatchState.waitingFor(here: UpstreamState): List<Contender> =
    upstreams.values.flatMap { upstream -> upstream.contenders { it.canRunAt(here) } }

private fun UpstreamState.contenders(isEligible: (QueuedRequest) -> Boolean = { true }): List<Contender> {
    val eligible = online.waiting.filter { it.request.sharesByHeldWork && isEligible(it) }
    return eligible.map { Contender(it.ticket, it.request, upstream.id) }
}

private fun UpstreamState.refuseAfter(
    contender: Contender,
    reason: RefusalReason,
    wait: Duration,
    now: Moment,
): UpstreamStep {
    val request = contender.request
    return refuse(contender.ticket, request.refusedFor(reason), maxOf(wait, expectedWait(request, now)), now)
}

private fun DispatchState.moveWaiting(next: Contender, to: UpstreamId): DispatchState {
    if (next.at == to) {
        return this
    }
    val from = upstreams.getValue(next.at)
    val moved = from.online.waiting.first { it.ticket == next.ticket }
    val target = upstreams.getValue(to)
    return with(from.withoutTicket(next.ticket))
        .with(target.copy(online = target.online.copy(waiting = target.online.waiting.add(moved))))
        .copy(tickets = tickets.put(next.ticket, to))
}

/** The time in which the candidates of [request] can take [count] requests. */
private fun DispatchState.poolWait(request: DispatchRequest, count: Int, now: Moment): Duration {
    val usable = request.candidates.map { stateOf(it, now) }.filter { it.usableSlots(now) > 0 }
    val perNano = usable.sumOf { it.onlinePerNano(now) }
    return if (perNano > 0) (count / perNano).nanoseconds else Duration.INFINITE
}
