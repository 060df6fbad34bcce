package figdeck.daemon.command.serving

import arrow.core.Either
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.TokenDemand
import figdeck.command.dispatch.exceedsCapacity
import figdeck.command.serving.announceLeaving
import figdeck.command.serving.removeImmediately
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updatePools
import figdeck.daemon.command.Permit
import figdeck.daemon.command.SlotDispatcher
import figdeck.model.Clock
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Upstream
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.query.serving.usableUpstreams
import figdeck.wire.serving.SlotRelease
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a holder keeps a slot without confirming it; several times the confirmation interval. */
private val HOLDER_TIMEOUT = 2_500.milliseconds
private val CHECK_INTERVAL = 500.milliseconds

/** Batch work uses the slots that online work leaves free, so its deadline is long enough never to refuse it. */
private val BATCH_DEADLINE = 600.seconds
private val FULL_RETRY_AFTER = 300.milliseconds

/** After this time without a request for a pool, the next one starts a new tenure of this host as its owner. */
private val IDLE_GAP = 5.seconds

/** How long a new owner grants no slots to batch work. Holders confirm their slots in this time. */
private val BATCH_GRACE_PERIOD = 800.milliseconds

/** Grants the slots of the pools that this host owns, to itself and to other hosts. */
internal class SlotOwner(
    private val slots: SlotDispatcher,
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val onRevoked: (HostId, Long) -> Unit,
) {
    private val grantedSlots = ConcurrentHashMap<Long, GrantedSlot>()
    private val tenures = ConcurrentHashMap<PoolName, Tenure>()

    /** Answers [request] as soon as a slot is free or its wait time is over. */
    suspend fun acquire(request: SlotRequest): SlotResponse {
        val candidates = control.snapshot.pools.members.usableUpstreams(request.pool, request.excluded)
        val isTooEarly = isInGracePeriod(request.pool) && request.lane == Lane.BATCH
        val isImpossible = candidates.isEmpty() || control.snapshot.demandOf(request)?.exceedsCapacity == true
        val answer = if (isImpossible || isTooEarly) null else awaitSlot(request, candidates)
        return when {
            isImpossible -> SlotResponse.NoUpstream
            isTooEarly -> SlotResponse.Full(FULL_RETRY_AFTER)
            answer == null -> SlotResponse.Full(refuseOverdue(request, candidates))
            else -> answer.fold(
                { SlotResponse.Full(it.retryAfter ?: FULL_RETRY_AFTER) },
                { permit ->
                    hold(request, permit)
                    SlotResponse.Granted(permit.upstream.id)
                },
            )
        }
    }

    /** Frees a slot. Drops the upstream if it is gone, and grants no more of its slots if it is leaving. */
    suspend fun release(release: SlotRelease) {
        val slot = grantedSlots.remove(release.ticket) ?: return
        slots.dispatcher.release(slot.permit, release.outcome, release.cost)
        val upstream = slot.permit.upstream.id
        if (release.outcome == SlotOutcome.GONE) {
            control.run { state, _ -> updatePools(state) { removeImmediately(it, upstream) } }
        }
        if (release.isLeaving) {
            control.run { state, now -> updatePools(state) { announceLeaving(it, upstream, now) } }
        }
    }

    /**
     * Processes the list of all slots that [from] holds here. Unknown slots were granted by an earlier owner and are
     * adopted. Slots missing from the list are freed, unless they were granted while the list was in transit.
     */
    suspend fun confirm(from: HostId, list: List<HeldSlot>) {
        val now = clock()
        for (slot in list) {
            val known = grantedSlots[slot.request.ticket]
            if (known == null) {
                adopt(slot)
            } else {
                grantedSlots[slot.request.ticket] = known.copy(confirmedAt = now)
            }
        }
        val listed = list.map { it.request.ticket }.toSet()
        releaseWhere { it.host == from && it.permit.id !in listed && now - it.grantedAt > CHECK_INTERVAL }
    }

    /** Frees the slots of hosts that no longer confirm them, until cancelled. */
    suspend fun releaseUnconfirmed() {
        while (true) {
            delay(CHECK_INTERVAL)
            val now = clock()
            releaseWhere { now - it.confirmedAt > HOLDER_TIMEOUT }
        }
    }

    /** Whether this host became the owner of [pool] so recently that holders may not have confirmed their slots yet. */
    private fun isInGracePeriod(pool: PoolName): Boolean {
        val now = clock()
        val current = tenures.compute(pool) { _, known ->
            if (known == null || now - known.lastAt > IDLE_GAP) Tenure(now, now) else known.copy(lastAt = now)
        }
        return current != null && now - current.since < BATCH_GRACE_PERIOD
    }

    private suspend fun awaitSlot(request: SlotRequest, candidates: List<Upstream>): Either<Refusal, Permit>? =
        withTimeoutOrNull(request.maxWait) {
            slots.acquire(request.ticket, request.toDispatchRequest(candidates, control.snapshot, clock()))
        }

    private suspend fun refuseOverdue(request: SlotRequest, candidates: List<Upstream>): Duration =
        slots.refuseOverdue(request.ticket, request.toDispatchRequest(candidates, control.snapshot, clock()))
            ?: FULL_RETRY_AFTER

    private suspend fun adopt(slot: HeldSlot) {
        val upstream = control.snapshot.pools.members[slot.upstream]?.upstream ?: return
        val request = slot.request.toDispatchRequest(listOf(upstream), control.snapshot, clock())
        hold(slot.request, slots.adopt(slot.request.ticket, request, upstream))
    }

    private fun hold(request: SlotRequest, permit: Permit) {
        val now = clock()
        grantedSlots[request.ticket] = GrantedSlot(request.from, permit, now, now)
        permit.revoked.invokeOnCompletion { onRevoked(request.from, request.ticket) }
    }

    private suspend fun releaseWhere(shouldRelease: (GrantedSlot) -> Boolean) {
        for (slot in grantedSlots.values.filter(shouldRelease)) {
            release(SlotRelease(slot.permit.id, SlotOutcome.ABANDONED, 0))
        }
    }

    /** The time since [since] in which this host has received requests for a pool, the last one at [lastAt]. */
    private data class Tenure(
        val since: Moment,
        val lastAt: Moment,
    )

    private data class GrantedSlot(
        val host: HostId,
        val permit: Permit,
        val grantedAt: Moment,
        val confirmedAt: Moment,
    )
}

/** Covers the network latency between data centres and the delays of busy hosts. */
private val ANSWER_MARGIN = 120.milliseconds

/** How long a host waits for the owner's answer before it treats the owner as lost. */
internal val SlotRequest.timeout: Duration get() = maxWait + ANSWER_MARGIN

/** The tokens that [request] may take at an engine of its pool; null if the pool has no limit. */
private fun ServingState.demandOf(request: SlotRequest): TokenDemand? =
    index?.plan?.pools?.find { it.name == request.pool }?.tokenCapacity?.let { capacity ->
        val tokens = request.features?.let { it.promptTokens.toLong() + it.maxOutputTokens } ?: request.cost.toLong()
        TokenDemand(tokens, capacity)
    }

private fun SlotRequest.toDispatchRequest(
    candidates: List<Upstream>,
    state: ServingState,
    now: Moment,
) = DispatchRequest(
    candidates = candidates,
    team = team,
    weight = 1,
    lane = lane,
    cost = cost,
    affinity = affinity,
    deadline = now + if (lane == Lane.BATCH) BATCH_DEADLINE - age else maxWait,
    willMissDeadline = willMissDeadline,
    slotTimeUsed = slotTimeUsed,
    demand = state.demandOf(this),
)
