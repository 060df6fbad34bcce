package figdeck.daemon.command.serving

import arrow.core.Either
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.exceedsCapacity
import figdeck.command.serving.ColdSource
import figdeck.command.serving.announceLeaving
import figdeck.command.serving.recordCold
import figdeck.command.serving.removeReplaced
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.limitsOf
import figdeck.control.serving.updateColdPools
import figdeck.control.serving.updatePools
import figdeck.control.serving.usableUpstreams
import figdeck.daemon.command.Permit
import figdeck.daemon.command.SlotDispatcher
import figdeck.model.Clock
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Upstream
import figdeck.model.serving.ExpectedWork
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.PoolName
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.model.serving.UpstreamStart
import figdeck.query.serving.permit
import figdeck.wire.serving.SlotRelease
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a holder keeps a slot without confirming it; several times the confirmation interval. */
private val HOLDER_TIMEOUT = 2_500.milliseconds
private val CHECK_INTERVAL = 500.milliseconds

private val FULL_RETRY_AFTER = 300.milliseconds

/** After this time without a request for a pool, the next one starts a new tenure of this host as its owner. */
private val IDLE_GAP = 5.seconds

/** How long a new owner grants no slots to batch work. Holders confirm their slots in this time. */
private val BATCH_GRACE_PERIOD = 800.milliseconds

/**
 * Grants the slots of the pools that this host owns, to itself and to other hosts.
 *
 * @param work estimates the work of requests; null if their cost is used. With it, teams share scarce slots by their
 * rates.
 */
internal class SlotOwner(
    private val slots: SlotDispatcher,
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val placement: SlotPlacement = SlotPlacement(),
    private val work: WorkEstimator? = null,
    private val onRevoked: (HostId, Long) -> Unit,
) {
    private val grantedSlots = ConcurrentHashMap<Long, GrantedSlot>()
    private val tenures = ConcurrentHashMap<PoolName, Tenure>()

    /** The tickets of slots that were returned lately. A list of held slots that was sent earlier may name them. */
    private val returnedTickets = ConcurrentHashMap<Long, Moment>()

    /** Adds to a request what this host knows of its candidates. */
    private val dispatchRequestOf: (SlotRequest, List<Upstream>) -> DispatchRequest = { request, candidates ->
        val context = placement.contextOf(request)
        request.toDispatchRequest(candidates, control.snapshot, context, sharesByRate = work != null, clock())
    }

    /** Answers [request] as soon as a slot is free or its wait time is over. */
    suspend fun acquire(request: SlotRequest): SlotResponse {
        val until = clock() + request.maxWait
        val candidates = control.snapshot.usableUpstreams(request)
        val isTooEarly = isInGracePeriod(request.pool) && request.lane == Lane.BATCH
        val isImpossible = candidates.isEmpty() || control.snapshot.demandOf(request)?.exceedsCapacity == true
        val expected = work?.estimate(request)
        val answer = if (isImpossible || isTooEarly) null else awaitSlot(request, candidates, expected)
        return when {
            isImpossible -> SlotResponse.NoUpstream
            isTooEarly -> SlotResponse.Full(FULL_RETRY_AFTER)
            answer == null -> SlotResponse.Full(refuseOverdue(request, candidates))
            else -> answer.fold(
                { it.toResponse() },
                { permit ->
                    // The data centre of the upstream may be evacuated since the candidates were chosen.
                    if (control.snapshot.limitsOf(request.homes).permit(permit.upstream)) {
                        hold(request, permit, expected, placement.expectedTime(permit))
                        SlotResponse.Granted(permit.upstream.id)
                    } else {
                        control.snapshot.noteReturnedSlot(request, permit.upstream.id)
                        slots.release(permit, SlotOutcome.ABANDONED, 0)
                        acquire(request.copy(maxWait = (until - clock()).coerceAtLeast(Duration.ZERO)))
                    }
                },
            )
        }
    }

    /**
     * Frees a slot. Drops the upstream if it is gone, and grants no more of its slots if it is leaving. A holder that
     * disconnects cancels this call. The slot is freed all the same, since nobody else knows it once its ticket is
     * removed.
     */
    suspend fun release(release: SlotRelease) {
        returnedTickets[release.ticket] = clock()
        val slot = grantedSlots.remove(release.ticket) ?: return
        withContext(NonCancellable) {
            if (slot.expectedTime != null && release.usage?.isWhole == true) {
                placement.recordTime(slot.expectedTime, clock() - slot.grantedAt)
            }
            val start = release.startAt(slot.permit.upstream)
            // Before the slot is freed, since freeing it grants it to the next request.
            release.coldRemaining?.let { remaining ->
                control.run { state, now ->
                    updateColdPools(state, now) {
                        recordCold(it, start, remaining, ColdSource.RELEASE, now)
                    }
                }
            }
            release.limit?.let { control.recordReportedLimits(mapOf(start to it), clock()) }
            slots.release(slot.permit, release.outcome, release.cost, release.usage)
            work?.learn(slot.request, slot.expected, release.usage)
            if (release.outcome == SlotOutcome.GONE) {
                control.run { state, _ -> updatePools(state) { removeReplaced(it, start) } }
            }
            if (release.isLeaving) {
                control.run { state, now ->
                    updatePools(state) { announceLeaving(it, start, now) }
                }
            }
        }
    }

    /**
     * Processes the list of all slots that [from] holds here. Unknown slots were granted by an earlier owner and are
     * adopted. Slots missing from the list are freed, unless they were granted while the list was in transit. Its
     * upstreams take no more than [limits], as the holder has heard.
     */
    suspend fun confirm(
        from: HostId,
        list: List<HeldSlot>,
        limits: Map<UpstreamStart, ReportedLimit> = emptyMap(),
    ) {
        val now = clock()
        control.recordReportedLimits(limits, now)
        for (slot in list) {
            val known = grantedSlots[slot.request.ticket]
            if (known == null) {
                if (!returnedTickets.containsKey(slot.request.ticket)) adopt(slot)
            } else {
                grantedSlots[slot.request.ticket] = known.copy(confirmedAt = now)
            }
        }
        val listed = list.map { it.request.ticket }.toSet()
        releaseWhere { it.request.from == from && it.permit.id !in listed && now - it.grantedAt > CHECK_INTERVAL }
    }

    /** Frees the slots of hosts that no longer confirm them, until cancelled. */
    suspend fun releaseUnconfirmed() {
        while (true) {
            delay(CHECK_INTERVAL)
            val now = clock()
            releaseWhere { now - it.confirmedAt > HOLDER_TIMEOUT }
            returnedTickets.values.removeIf { now - it > HOLDER_TIMEOUT }
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

    private suspend fun awaitSlot(
        request: SlotRequest,
        candidates: List<Upstream>,
        expected: ExpectedWork?,
    ): Either<Refusal, Permit>? = withTimeoutOrNull(request.maxWait) {
        slots.acquire(request.ticket, dispatchRequestOf(request, candidates).copy(expected = expected))
    }

    private suspend fun refuseOverdue(request: SlotRequest, candidates: List<Upstream>): Duration =
        slots.refuseOverdue(request.ticket, dispatchRequestOf(request, candidates))
            ?: FULL_RETRY_AFTER

    private suspend fun adopt(slot: HeldSlot) {
        val upstream = control.snapshot.pools.members[slot.upstream]?.upstream ?: return
        val expected = work?.estimate(slot.request)
        val request = dispatchRequestOf(slot.request, listOf(upstream)).copy(expected = expected)
        hold(slot.request, slots.adopt(slot.request.ticket, request, upstream), expected, expectedTime = null)
    }

    private fun hold(request: SlotRequest, permit: Permit, expected: ExpectedWork?, expectedTime: Duration?) {
        val now = clock()
        grantedSlots[request.ticket] = GrantedSlot(request, expected, permit, now, now, expectedTime)
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
        val request: SlotRequest,
        val expected: ExpectedWork?,
        val permit: Permit,
        val grantedAt: Moment,
        val confirmedAt: Moment,
        val expectedTime: Duration? = null,
    )
}

/** The start of [upstream] that the holder has used. Without its word, the one at which the slot was granted. */
private fun SlotRelease.startAt(upstream: Upstream): UpstreamStart =
    UpstreamStart(upstream.id, startedAtMillis ?: upstream.startedAtMillis)

/** Covers the network latency between data centres and the delays of busy hosts. */
private val ANSWER_MARGIN = 120.milliseconds

/** How long a host waits for the owner's answer before it treats the owner as lost. */
internal val SlotRequest.timeout: Duration get() = maxWait + ANSWER_MARGIN

private fun Refusal.toResponse(): SlotResponse =
    if (this is Refusal.Evacuated) SlotResponse.NoUpstream else SlotResponse.Full(retryAfter ?: FULL_RETRY_AFTER)
