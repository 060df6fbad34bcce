package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Upstream
import kotlinx.collections.immutable.toPersistentList
import kotlin.random.Random

/** Tells whether an upstream gets no new work. */
public typealias IsWithdrawn = (Upstream) -> Boolean

/**
 * Moves the requests that wait at withdrawn upstreams to their other candidates, and refuses those that have none left.
 * Queued requests lose the withdrawn upstreams as candidates, so that these steal none of them. Work that already holds
 * a slot keeps it.
 */
public fun withdrawUpstreams(
    state: DispatchState,
    isWithdrawn: IsWithdrawn,
    seed: Long,
    policy: DispatchPolicy,
    now: Moment,
): DispatchStep {
    val limited = state.upstreams.values.fold(state) { all, known -> all.with(known.withoutCandidates(isWithdrawn)) }
    val stranded = limited.upstreams.values
        .flatMap { it.online.waiting + it.batch.waiting }
        .filter { it.request.candidates.isEmpty() }
    val left = stranded.fold(limited) { all, queued -> all.withoutTicket(queued.ticket) }
    val refusals = stranded.map {
        DispatchEffect.Refused(
            it.ticket,
            Refusal.Evacuated("this work"),
            it.request.refusedFor(RefusalReason.EVACUATED),
        )
    }
    val random = Random(seed)
    return left.upstreams.values
        .filter { isWithdrawn(it.upstream) && (it.online.waiting.isNotEmpty() || it.batch.waiting.isNotEmpty()) }
        .fold(Step(left, refusals)) { step, from ->
            val moved = redistributeQueue(step.state, from, random.nextLong(), policy, now)
            Step(moved.state, step.result + moved.result)
        }
}

private fun UpstreamState.withoutCandidates(isWithdrawn: IsWithdrawn): UpstreamState =
    copy(online = online.withoutCandidates(isWithdrawn), batch = batch.withoutCandidates(isWithdrawn))

private fun LaneQueue.withoutCandidates(isWithdrawn: IsWithdrawn): LaneQueue =
    if (waiting.any { it.request.candidates.any(isWithdrawn) }) {
        copy(waiting = waiting.map { it.withoutCandidates(isWithdrawn) }.toPersistentList())
    } else {
        this
    }

private fun QueuedRequest.withoutCandidates(isWithdrawn: IsWithdrawn): QueuedRequest =
    copy(request = request.copy(candidates = request.candidates.filterNot(isWithdrawn)))

private fun DispatchState.withoutTicket(ticket: Long): DispatchState {
    val upstream = tickets[ticket]?.let { upstreams[it] } ?: return this
    return copy(tickets = tickets.remove(ticket)).with(upstream.withoutTicket(ticket))
}
