package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.Lane
import figdeck.model.Moment
import kotlinx.collections.immutable.toPersistentList

/** The new state and the effects of a decision on one upstream. */
internal typealias UpstreamStep = Step<UpstreamState, List<DispatchEffect>>

/** Assigns the free slots of one upstream. Online work goes first and revokes batch work if no slot is free. */
internal fun assignFreeSlots(state: UpstreamState, policy: DispatchPolicy, now: Moment): UpstreamStep {
    var current = state
    val effects = mutableListOf<DispatchEffect>()
    var next = nextAssignment(current, policy, now)
    while (next != null) {
        current = next.state
        effects += next.result
        next = nextAssignment(current, policy, now)
    }
    return Step(current, effects)
}

private fun nextAssignment(state: UpstreamState, policy: DispatchPolicy, now: Moment): UpstreamStep? {
    val free = state.usableSlots(now) - state.occupiedSlots
    val headroom = state.headroom.wholeSlots(now, policy.headroom)
    return expire(state, policy, now) ?: when {
        !state.hasToken(Lane.ONLINE, now) -> null
        state.online.waiting.isNotEmpty() && free > 0 ->
            grant(state, Lane.ONLINE, policy, now) ?: revokeForTokens(state, now)
        state.online.waiting.isNotEmpty() -> revokeOne(state, now)
        state.batch.waiting.isNotEmpty() && free > headroom && state.hasToken(Lane.BATCH, now) ->
            grant(state, Lane.BATCH, policy, now)
        else -> null
    }
}

/** Refuses a queued request that can no longer finish before its deadline. */
private fun expire(state: UpstreamState, policy: DispatchPolicy, now: Moment): UpstreamStep? {
    val lane = Lane.entries.find { lane -> state.queue(lane).findTooLate(policy, now) != null }
    val queue = lane?.let { state.queue(it) }
    val expired = queue?.findTooLate(policy, now) ?: return null
    val left = state.withQueue(lane, queue.copy(waiting = queue.waiting.remove(expired)))
    val cause = expired.request.refusedFor(RefusalReason.EXPIRED)
    return left.refuse(expired.ticket, cause, left.expectedWait(expired.request, now), now)
}

private fun LaneQueue.findTooLate(policy: DispatchPolicy, now: Moment): QueuedRequest? =
    waiting.find { it.since < now && it.request.deadline < now + requiredTime(it.request.lane, policy) }

/** Grants a slot to the next request of [lane] whose tokens fit, or returns null if there is none. */
private fun grant(state: UpstreamState, lane: Lane, policy: DispatchPolicy, now: Moment): UpstreamStep? {
    val queue = state.queue(lane)
    val next = policy.order(state.fittingQueue(lane) ?: return null)
    val request = next.request
    val shares = queue.shares.charge(request.team, request.chargedTokens, request.weight)
    val left = queue.copy(waiting = queue.waiting.remove(next), shares = shares)
    val running = state.running.put(next.ticket, RunningRequest(next.ticket, request, now, revokedAt = null))
    return Step(
        state.withQueue(lane, left).copy(running = running, cold = state.cold?.take(now), rate = state.rate?.take(now)),
        listOf(DispatchEffect.Granted(next.ticket, state.upstream, state.health.probeTimeout)),
    )
}

private fun revokeForTokens(state: UpstreamState, now: Moment): UpstreamStep? =
    if (state.needsTokensOfBatch()) revokeOne(state, now) else null

private fun revokeOne(state: UpstreamState, now: Moment): UpstreamStep? {
    val victim = state.workToRevoke(now) ?: return null
    val running = state.running.put(victim.ticket, victim.copy(revokedAt = now))
    return Step(state.copy(running = running), listOf(DispatchEffect.Revoked(victim.ticket)))
}

/**
 * Enforces the bound on the queue of [lane] by refusing the newest request of the team with the highest queued cost per
 * weight.
 */
internal fun enforceQueueBound(
    state: UpstreamState,
    lane: Lane,
    policy: DispatchPolicy,
    now: Moment,
): UpstreamStep {
    val queue = state.queue(lane)
    val perSlot = if (lane == Lane.ONLINE) policy.onlineQueuePerSlot else policy.batchQueuePerSlot
    if (queue.waiting.size <= perSlot * state.upstream.slots) {
        return Step(state, emptyList())
    }
    val longest = queue.waiting
        .groupBy { it.request.team }
        .maxBy { (_, waiting) -> waiting.sumOf { it.request.chargedTokens.toDouble() / it.request.weight } }
        .value
    val victim = longest.last()
    val left = queue.copy(waiting = queue.waiting.filter { it != victim }.toPersistentList())
    val ahead = left.requestsAhead(victim.request.team)
    val wait = maxOf(queue.averageHold * (ahead + 1) / state.upstream.slots, state.tokenWait(lane, ahead, now))
    return state.withQueue(lane, left)
        .refuse(victim.ticket, victim.request.refusedFor(RefusalReason.QUEUE_FULL), wait, now)
}
