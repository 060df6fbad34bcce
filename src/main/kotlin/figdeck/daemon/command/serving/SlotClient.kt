package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.serving.ColdSource
import figdeck.command.serving.PoolMembers
import figdeck.command.serving.announceLeaving
import figdeck.command.serving.isListed
import figdeck.command.serving.latestStart
import figdeck.command.serving.ownColdTimeLeft
import figdeck.command.serving.recordCold
import figdeck.command.serving.recordWeights
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.forbiddenUpstreams
import figdeck.control.serving.isColdChange
import figdeck.control.serving.refusalByLimits
import figdeck.control.serving.refusalByWeights
import figdeck.control.serving.updateColdPools
import figdeck.control.serving.updatePools
import figdeck.control.serving.usableMember
import figdeck.control.serving.withoutOtherWeights
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.PoolName
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.WeightsVersion
import figdeck.model.serving.reportedAt
import figdeck.query.serving.SlotConfirmations
import figdeck.query.serving.areDue
import figdeck.query.serving.ranked
import figdeck.query.serving.settledOwner
import figdeck.query.serving.slotKey
import figdeck.wire.serving.HeldSlots
import figdeck.wire.serving.SlotRelease
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val OWNER_CHECK_INTERVAL = 100.milliseconds

/** How many unusable slots are returned before the request is refused; several upstreams may leave at once. */
private const val MAX_UNUSABLE_GRANTS = 3

/**
 * A slot that this host holds.
 *
 * @property start the start of the upstream to which its address belongs.
 * @property owner the host that granted the slot; null for this host.
 * @property revoked completes when the slot must be returned immediately.
 */
internal data class HeldPermit(
    val request: SlotRequest,
    val upstream: Upstream,
    val start: UpstreamStart,
    val owner: FleetMember?,
    val revoked: Deferred<Unit>,
)

/** Acquires slots from the owners of pools and tracks the slots that this host holds. */
internal class SlotClient(
    val control: Control<ServingState>,
    val clock: Clock,
    private val localOwner: SlotOwner,
    private val remoteOwners: RemoteSlotOwners,
    private val scope: CoroutineScope,
) {
    private val router = SlotRequestRouter(control, clock, localOwner, remoteOwners)
    private val held = ConcurrentHashMap<Long, TicketState>()

    /** Wakes [confirmHeldSlots] when a slot is requested. */
    private val acquired = Channel<Unit>(Channel.CONFLATED)

    /** The id of this host. */
    val self: HostId get() = control.snapshot.fleet.self.host

    /**
     * Waits for a slot in the pool of [request]. An owner that can't reach the store may grant slots at upstreams that
     * this host knows to be leaving or evacuated. Such slots are returned and another one is requested. A request for
     * which evacuations, its homes or its [weights] leave no upstream is refused without asking the owner.
     */
    suspend fun acquire(request: SlotRequest, weights: WeightsVersion? = null): Either<Refusal, HeldPermit> {
        val state = control.snapshot
        val now = clock()
        var current = weights?.let { state.withoutOtherWeights(request, it, now) } ?: request
        var unusableGrants = 0
        var result: Either<Refusal, HeldPermit>? =
            weights?.let { state.refusalByWeights(request.pool, it, request.homes, now) }?.left()
        while (result == null) {
            val refusal = control.snapshot.refusalByLimits(current)
            val grant = refusal?.let { AcquireFailure(it, null).left() } ?: acquireOnce(current)
            val upstream = grant.leftOrNull()?.unusableUpstream
            if (upstream == null || unusableGrants == MAX_UNUSABLE_GRANTS) {
                result = grant.mapLeft { it.refusal }
            } else {
                unusableGrants++
                current = current.copy(
                    ticket = current.ticket + 1,
                    excluded = current.excluded + upstream + control.snapshot.forbiddenUpstreams(current),
                )
            }
        }
        return result
    }

    private suspend fun acquireOnce(request: SlotRequest): Either<AcquireFailure, HeldPermit> {
        val ticketState = TicketState(CompletableDeferred())
        held[request.ticket] = ticketState
        acquired.trySend(Unit)
        val response = try {
            router.acquire(request)
        } catch (e: CancellationException) {
            held.remove(request.ticket)
            throw e
        }
        val granted = response.first as? SlotResponse.Granted
        val member = granted?.let {
            control.snapshot.usableMember(request, it.upstream)
        }
        return if (member == null) {
            held.remove(request.ticket)
            returnUnusableSlot(granted, response.second, request)
            val refusal = control.snapshot.refusalByLimits(request) ?: refusalOf(response.first)
            AcquireFailure(refusal, granted?.upstream).left()
        } else {
            val permit = HeldPermit(request, member.upstream, member.start, response.second, ticketState.revoked)
            held[request.ticket] = ticketState.copy(permit = permit)
            permit.right()
        }
    }

    /** Returns the slot of [permit] to its owner without waiting for a reply, with what [meter] has seen in it. */
    fun release(permit: HeldPermit, use: SlotOutcome, cost: Int, meter: SlotUsageMeter? = null) {
        held.remove(permit.request.ticket)
        val usage = meter?.usageOf(permit.request, control.snapshot.index?.plan)
        val release = SlotRelease(permit.request.ticket, use, cost, usage = usage)
        sendRelease(permit.owner, release.withUpstreamStatus(control.snapshot.pools, permit.start, clock()))
    }

    /**
     * Records that [start] has said in its answer to [request] that it is leaving, whatever its entry in the store
     * says. Its upstream gets no new work from this host until it has started again, and the owner of its slots is told
     * when the next one is returned.
     */
    suspend fun recordLeaving(start: UpstreamStart, request: String, decisions: DecisionLog) {
        if (start !in control.snapshot.pools.leaving) {
            control.run { state, now -> updatePools(state) { announceLeaving(it, start, now) } }
            decisions.note("upstream_leaving", request) {
                put("upstream", start.id.value)
                start.startedAtMillis?.let { put("started_at_ms", it) }
                put("is_listed", control.snapshot.pools.isListed(start))
            }
        }
    }

    /**
     * Records that [start] has said in an answer that it stays cold for [remaining], if that tells anything new. The
     * owner of its slots is told when the next one is returned.
     */
    suspend fun recordColdReply(start: UpstreamStart, remaining: Duration) {
        if (control.snapshot.isColdChange(start, remaining, clock())) {
            control.run { state, now ->
                updateColdPools(state, now) { recordCold(it, start, remaining, ColdSource.REPLY, now) }
            }
        }
    }

    /** Marks the slots with [tickets] as revoked, so that the requests that use them stop. */
    fun revoke(tickets: List<Long>) {
        tickets.forEach { held[it]?.revoked?.complete(Unit) }
    }

    /** Confirms the held slots to their owners whenever [areDue] says so, until cancelled. Sleeps without slots. */
    suspend fun confirmHeldSlots() {
        var confirmations = SlotConfirmations(emptyMap(), clock())
        while (true) {
            if (held.isEmpty()) {
                acquired.receive()
                confirmations = confirmations.copy(confirmedAt = clock())
            }
            delay(OWNER_CHECK_INTERVAL)
            val permits = held.values.mapNotNull { it.permit }.groupBy { it.request.pool }
            val now = clock()
            val current = permits.mapValues { (pool, _) -> control.snapshot.fleet.slotOwners(pool, now) }
            val hosts = current.mapValues { (_, members) -> members.map { it.host }.toSet() }
            val due = confirmations.areDue(hosts, now)
            if (due) {
                current.values.flatten().distinctBy { it.host }.forEach { owner ->
                    confirm(owner, permits.filterKeys { owner in current.getValue(it) }.values.flatten())
                }
            }
            confirmations = SlotConfirmations(
                owners = confirmations.owners + hosts,
                confirmedAt = if (due) now else confirmations.confirmedAt,
            )
        }
    }

    private suspend fun confirm(owner: FleetMember, permits: List<HeldPermit>) {
        val slots = permits.map { HeldSlot(it.request, it.upstream.id) }
        if (owner.host == self) {
            localOwner.confirm(self, slots)
        } else {
            val limits = control.snapshot.pools.reportedLimits(permits.map { it.start }, clock())
            remoteOwners.confirm(owner, HeldSlots(self, slots, limits))
        }
    }

    private fun returnUnusableSlot(granted: SlotResponse.Granted?, owner: FleetMember?, request: SlotRequest) {
        if (granted != null) {
            control.snapshot.noteReturnedSlot(request, granted.upstream)
            val release = SlotRelease(request.ticket, SlotOutcome.ABANDONED, 0)
            val pools = control.snapshot.pools
            val start = pools.latestStart(granted.upstream)
            sendRelease(owner, if (start == null) release else release.withUpstreamStatus(pools, start, clock()))
        }
    }

    private fun sendRelease(owner: FleetMember?, release: SlotRelease) {
        scope.launch { if (owner == null) localOwner.release(release) else remoteOwners.release(owner, release) }
    }

    /** A failed acquisition. [unusableUpstream] is the upstream of a slot that was granted and returned. */
    private data class AcquireFailure(
        val refusal: Refusal,
        val unusableUpstream: UpstreamId?,
    )

    private data class TicketState(
        val revoked: CompletableDeferred<Unit>,
        val permit: HeldPermit? = null,
    )
}

/** Records what [reply] to [request], which was sent at [sentAt], tells of the upstream of [permit]. */
internal suspend fun SlotClient.recordReply(
    permit: HeldPermit,
    reply: UpstreamReply,
    sentAt: Moment,
    request: String,
    decisions: DecisionLog,
) {
    if (reply.isLeaving) recordLeaving(permit.start, request, decisions)
    reply.coldRemaining?.let { recordColdReply(permit.start, it) }
    reply.advertisedRate?.let { control.recordAdvertisedRate(permit.start, it, sentAt, clock()) }
    reply.weights?.takeIf { reply.executionStatus.showsOwnWeights }?.let {
        recordWeights(permit.start, it, isRejection = reply.executionStatus == ExecutionStatus.OTHER_WEIGHTS)
    }
}

/**
 * Records that [start] had the weights [version] by an answer, if that tells anything new. A rejection for its weights
 * always does: it tells that they are still the same.
 */
private suspend fun SlotClient.recordWeights(start: UpstreamStart, version: WeightsVersion, isRejection: Boolean) {
    if (isRejection || control.snapshot.pools.weights[start]?.version != version) {
        control.run { state, now -> updatePools(state) { recordWeights(it, start, version, now) } }
    }
}

/** The hosts that grant slots of [pool]: one to online work and one to batch work, which may be the same. */
private fun Fleet.slotOwners(pool: PoolName, now: Moment): Set<FleetMember> =
    setOfNotNull(ranked(slotKey(pool), now).firstOrNull(), batchOwner(pool, now))

internal fun Fleet.batchOwner(pool: PoolName, now: Moment): FleetMember? = settledOwner(slotKey(pool), now)

/** What this host knows of the requests that [starts] take, as far as it has heard of a limit. */
private fun PoolMembers.reportedLimits(starts: List<UpstreamStart>, now: Moment): Map<UpstreamStart, ReportedLimit> =
    if (limits.isEmpty()) {
        emptyMap()
    } else {
        starts.distinct().mapNotNull { start -> limits[start]?.let { start to it.reportedAt(now) } }.toMap()
    }

/** Adds what this host knows of [start] by [pools] and the owner of its slots may not know. */
private fun SlotRelease.withUpstreamStatus(pools: PoolMembers, start: UpstreamStart, now: Moment): SlotRelease {
    val release = copy(
        isLeaving = start in pools.leaving,
        coldRemaining = pools.ownColdTimeLeft(start, now),
        limit = pools.limits[start]?.reportedAt(now),
    )
    return if (release.concernsUpstream) release.copy(startedAtMillis = start.startedAtMillis) else release
}

private fun refusalOf(response: SlotResponse): Refusal = when (response) {
    is SlotResponse.Full -> Refusal.Overloaded("every upstream", response.retryAfter)
    is SlotResponse.Granted, SlotResponse.NoUpstream -> Refusal.NoUpstream("this route")
}
