package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.Moment
import kotlinx.collections.immutable.toPersistentList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Frees the slot of [running], corrects its charge to the actual cost, and updates health and average holding time. */
internal fun UpstreamState.freeSlot(
    running: RunningRequest,
    release: Release,
    policy: DispatchPolicy,
    now: Moment,
): UpstreamState {
    val request = running.request
    val queue = queue(request.lane)
    val corrected = queue.copy(
        shares = queue.shares.correct(
            request.team,
            release.actualTokens(request) - request.chargedTokens,
            request.weight,
        )
    )
    val answered = release.outcome == SlotOutcome.ANSWERED
    return withQueue(request.lane, if (answered) corrected.observeHold(now - running.since) else corrected)
        .copy(
            running = this.running.remove(running.ticket),
            health = if (isOfPresentStart(running)) {
                health.after(release.outcome, Random(release.seed).nextDouble(), now)
            } else {
                health
            },
            pace = paceAfter(running, release, now),
        )
        .observeRevokedRelease(running, policy.headroom, now)
}

private fun UpstreamState.observeRevokedRelease(
    running: RunningRequest,
    policy: HeadroomPolicy,
    now: Moment,
): UpstreamState =
    running.revokedAt?.let { observeOnlineArrival(now - it > policy.revokeGrace, policy, now) } ?: this

/** This upstream with [ticket] removed from its slots and queues. Removing a queued request charges nothing. */
internal fun UpstreamState.withoutTicket(ticket: Long): UpstreamState = copy(
    running = running.remove(ticket),
    online = online.withoutTicket(ticket),
    batch = batch.withoutTicket(ticket),
)

private fun LaneQueue.withoutTicket(ticket: Long): LaneQueue =
    if (waiting.any { it.ticket == ticket }) {
        copy(waiting = waiting.filter { it.ticket != ticket }.toPersistentList())
    } else {
        this
    }

/**
 * Moves queued requests to an upstream that has free slots and queues none that fits: one per lane, from the longest
 * queue of that lane with a request that can run there.
 */
internal fun stealWork(state: DispatchState, to: UpstreamState, policy: DispatchPolicy, now: Moment): DispatchState =
    Lane.entries.fold(state) { current, lane ->
        val here = current.upstreams.getValue(to.upstream.id)
        val reserved = if (lane == Lane.BATCH) here.headroom.wholeSlots(now, policy.headroom) else 0
        val hasFree = here.usableSlots(now) - here.occupiedSlots > reserved && here.hasToken(lane, now)
        if (here.fittingQueue(lane) == null && hasFree) current.stealOne(lane, here, policy) else current
    }

private fun DispatchState.stealOne(lane: Lane, to: UpstreamState, policy: DispatchPolicy): DispatchState {
    val from = upstreams.values
        .filter { it.upstream.id != to.upstream.id && it.queue(lane).waiting.any { w -> w.canRunAt(to) } }
        .maxByOrNull { it.queue(lane).waiting.size }
        ?: return this
    val queue = from.queue(lane)
    val fitting = queue.copy(waiting = queue.waiting.filter { it.canRunAt(to) }.toPersistentList())
    val moved = policy.order(fitting)
    val target = to.queue(lane)
    return with(from.withQueue(lane, queue.copy(waiting = queue.waiting.remove(moved))))
        .with(to.withQueue(lane, target.copy(waiting = target.waiting.add(moved))))
        .copy(tickets = tickets.put(moved.ticket, to.upstream.id))
}

internal fun QueuedRequest.canRunAt(upstream: UpstreamState): Boolean =
    request.candidates.any { it.id == upstream.upstream.id } && upstream.hasTokensFor(request)

/** The time until the first paused candidate is probed, at least 1 second. */
internal fun DispatchState.timeToNextProbe(request: DispatchRequest, now: Moment): Duration = request.candidates
    .mapNotNull { upstreams[it.id]?.health?.pausedUntil }
    .minOfOrNull { it - now }
    ?.coerceAtLeast(1.seconds)
    ?: 1.seconds
