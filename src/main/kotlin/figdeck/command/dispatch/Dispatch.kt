package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.model.serving.SlotUsage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A request for a slot, identified by a unique [ticket]. The [seed] makes its random choices reproducible. */
public data class Arrival(
    public val ticket: Long,
    public val request: DispatchRequest,
    public val seed: Long,
)

/**
 * The return of a slot. The [cost] is the actual number of tokens, and [seed] makes random choices reproducible.
 *
 * @property usage what its holder has seen of a generation in it; null if it saw none.
 */
public data class Release(
    public val ticket: Long,
    public val outcome: SlotOutcome,
    public val cost: Int,
    public val seed: Long,
    public val usage: SlotUsage? = null,
)

/** Grants a slot to [arrival], queues it or refuses it. */
public fun admit(state: DispatchState, arrival: Arrival, policy: DispatchPolicy, now: Moment): DispatchStep {
    val budget = state.retryBudget.spend(arrival.request.attempt)
    return if (budget == null) {
        Step(state, refused(arrival, Refusal.Overloaded("retrying", 1.seconds), RefusalReason.RETRY_BUDGET))
    } else {
        val current = state.copy(retryBudget = budget)
            .withCandidates(arrival.request, now)
            .reviewPace(arrival.request, policy, now)
        countHeldBack(placeArrival(current, arrival, policy, now), arrival, now)
    }
}

/** Frees the slot of [release] and assigns it to waiting work. */
public fun release(state: DispatchState, release: Release, policy: DispatchPolicy, now: Moment): DispatchStep {
    val id = state.tickets[release.ticket]
    val upstream = id?.let { state.upstreams[it] }
    val running = upstream?.running?.get(release.ticket) ?: return cancelTicket(state, release.ticket, policy, now)
    val freed = upstream.freeSlot(running, release, policy, now)
    val left = state.copy(tickets = state.tickets.remove(release.ticket)).with(freed)
    return if (freed.usableSlots(now) == 0) {
        redistributeQueue(left, freed, release.seed, policy, now)
    } else {
        assignSlotsAt(left, id, policy, now)
    }
}

/** Removes [ticket] from its queue or frees its slot after its holder is gone. */
public fun cancelTicket(state: DispatchState, ticket: Long, policy: DispatchPolicy, now: Moment): DispatchStep {
    val id = state.tickets[ticket]
    val upstream = id?.let { state.upstreams[it] } ?: return Step(state, emptyList())
    val left = state.copy(tickets = state.tickets.remove(ticket)).with(upstream.withoutTicket(ticket))
    return assignSlotsAt(left, id, policy, now)
}

/**
 * Assigns slots that became usable as time passed: upstreams whose pause has ended, headroom that has decayed, and free
 * slots that work queued at other upstreams can use.
 */
public fun tick(state: DispatchState, policy: DispatchPolicy, now: Moment): DispatchStep =
    state.upstreams.keys.fold(Step(state, emptyList())) { step, upstream ->
        val next = assignSlotsAt(step.state, upstream, policy, now)
        Step(next.state, step.result + next.result)
    }

private fun placeArrival(state: DispatchState, arrival: Arrival, policy: DispatchPolicy, now: Moment): DispatchStep {
    val request = arrival.request
    val views = state.candidateViews(request, policy, now)
    if (views.isEmpty()) {
        val refusal = Refusal.Overloaded("every upstream", state.timeToNextProbe(request, now))
        return Step(state, refused(arrival, refusal, RefusalReason.NO_USABLE_UPSTREAM))
    }
    val choose = state.choiceFor(request, policy)
    val chosen = state.stateOf(choose(views, request, arrival.seed).upstream, now)
    val wait = chosen.expectedWait(request, now)
    val late = now + wait + chosen.queue(request.lane).requiredTime(request.lane, policy) - request.deadline
    return when {
        wait > Duration.ZERO && !chosen.isLimited && policy.shareByHeldWork && request.sharesByHeldWork ->
            placeByHeldWork(state, chosen, arrival, now) {
                enqueue(it, it.stateOf(chosen.upstream, now), arrival, policy, now)
            }
        wait > Duration.ZERO && late > Duration.ZERO && chosen.rate != null ->
            refuseForTokens(state, arrival, policy, now)
        wait > Duration.ZERO && late > Duration.ZERO -> {
            val step = chosen.refuse(arrival.ticket, request.refusedFor(RefusalReason.LATE_IN_QUEUE), late, now)
            Step(state.with(step.state), step.result)
        }
        else -> enqueue(state, chosen, arrival, policy, now)
    }
}

private fun enqueue(
    state: DispatchState,
    chosen: UpstreamState,
    arrival: Arrival,
    policy: DispatchPolicy,
    now: Moment,
): DispatchStep {
    val lane = arrival.request.lane
    val queue = chosen.queue(lane)
    val queued = chosen.observeArrival(lane, policy, now)
        .withQueue(lane, queue.copy(waiting = queue.waiting.add(QueuedRequest(arrival.ticket, arrival.request, now))))
    val assigned = assignFreeSlots(queued, policy, now)
    val trimmed = enforceQueueBound(assigned.state, lane, policy, now)
    val placed = state.copy(tickets = state.tickets.put(arrival.ticket, chosen.upstream.id))
        .after(Step(trimmed.state, assigned.result + trimmed.result))
    return Step(placed, assigned.result + trimmed.result)
}

/** Moves the queued requests of an upstream that has just been paused or withdrawn to their other candidates. */
internal fun redistributeQueue(
    state: DispatchState,
    from: UpstreamState,
    seed: Long,
    policy: DispatchPolicy,
    now: Moment,
): DispatchStep {
    val waiting = from.online.waiting + from.batch.waiting
    val emptied = from.copy(
        online = from.online.copy(waiting = from.online.waiting.clear()),
        batch = from.batch.copy(waiting = from.batch.waiting.clear()),
    )
    val random = Random(seed)
    return waiting.fold(Step(state.with(emptied), emptyList())) { step, next ->
        val cleared = step.state.copy(tickets = step.state.tickets.remove(next.ticket))
        val placed = placeArrival(cleared, Arrival(next.ticket, next.request, random.nextLong()), policy, now)
        Step(placed.state, step.result + placed.result)
    }
}

private fun assignSlotsAt(state: DispatchState, id: UpstreamId, policy: DispatchPolicy, now: Moment): DispatchStep {
    if (id !in state.upstreams) return Step(state, emptyList())
    val (taken, order) = takeByHeldWork(state, id, policy, now)
    val refilled = stealWork(taken, taken.upstreams.getValue(id), policy, now)
    val assigned = assignFreeSlots(refilled.upstreams.getValue(id), policy.copy(order = order), now)
    return Step(refilled.after(assigned), assigned.result)
}

private fun refused(arrival: Arrival, refusal: Refusal, reason: RefusalReason): List<DispatchEffect> =
    listOf(DispatchEffect.Refused(arrival.ticket, refusal, arrival.request.refusedFor(reason)))

/**
 * Records an online arrival that found a free slot. An arrival that revokes batch work is recorded when that work
 * returns its slot.
 */
private fun UpstreamState.observeArrival(lane: Lane, policy: DispatchPolicy, now: Moment): UpstreamState =
    if (lane == Lane.ONLINE && occupiedSlots < usableSlots(now)) {
        observeOnlineArrival(delayed = false, policy.headroom, now)
    } else {
        this
    }
