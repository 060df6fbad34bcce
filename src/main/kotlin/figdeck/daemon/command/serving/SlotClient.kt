package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.dispatch.UseResult
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.log.PartLog
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
import figdeck.model.serving.SlotAnswer
import figdeck.model.serving.SlotAsk
import figdeck.query.serving.ranked
import figdeck.query.serving.settledOwner
import figdeck.query.serving.usable
import figdeck.wire.serving.HeldSlots
import figdeck.wire.serving.SlotRelease
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

private val CONFIRM_INTERVAL = 500.milliseconds
private val OWNER_CHECK_INTERVAL = 100.milliseconds

/** How many slots at upstreams that take no work are given back before a refusal; several may leave at once. */
private const val MAX_UNUSABLE_GRANTS = 3

private val log = PartLog("slots")

/**
 * A slot that this host holds.
 *
 * @property revoked completes when it must be given back at once.
 */
internal data class HeldPermit(
    val ask: SlotAsk,
    val upstream: Upstream,
    val owner: FleetMember?,
    val revoked: Deferred<Unit>,
)

/** The slots that this host holds, wherever they are given out. */
internal class SlotClient(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val localOwner: SlotOwner,
    private val remoteOwners: RemoteSlotOwners,
    private val scope: CoroutineScope,
) {
    private val router = SlotRequestRouter(control, clock, localOwner, remoteOwners)
    private val held = ConcurrentHashMap<Long, TicketState>()

    /** This host. */
    val self: HostId get() = control.snapshot.fleet.self.host

    /**
     * Waits for a slot of the pool of [ask]. An owner that has lost the store may give out slots at upstreams that this
     * host knows to be leaving; such slots go back.
     */
    suspend fun acquire(ask: SlotAsk): Either<Refusal, HeldPermit> {
        var current = ask
        var unusableGrants = 0
        var result: Either<Refusal, HeldPermit>? = null
        while (result == null) {
            val grant = acquireOnce(current)
            val upstream = grant.leftOrNull()?.unusableUpstream
            if (upstream == null || unusableGrants == MAX_UNUSABLE_GRANTS) {
                result = grant.mapLeft { it.refusal }
            } else {
                unusableGrants++
                current = current.copy(ticket = current.ticket + 1, without = current.without + upstream)
            }
        }
        return result
    }

    private suspend fun acquireOnce(ask: SlotAsk): Either<AcquireFailure, HeldPermit> {
        val ticketState = TicketState(CompletableDeferred())
        held[ask.ticket] = ticketState
        val response = try {
            router.request(ask)
        } catch (e: CancellationException) {
            held.remove(ask.ticket)
            throw e
        }
        val granted = response.first as? SlotAnswer.Granted
        val upstream = granted?.let { control.snapshot.pools.members.usable(ask.pool, ask.without, it.upstream) }
        return if (upstream == null) {
            held.remove(ask.ticket)
            returnUnusableSlot(granted, response.second, ask)
            AcquireFailure(refusalOf(response.first), granted?.upstream).left()
        } else {
            val permit = HeldPermit(ask, upstream, response.second, ticketState.revoked)
            held[ask.ticket] = ticketState.copy(permit = permit)
            permit.right()
        }
    }

    /** Gives a slot back. */
    fun release(permit: HeldPermit, use: UseResult, cost: Int) {
        held.remove(permit.ask.ticket)
        sendRelease(permit.owner, SlotRelease(permit.ask.ticket, use, cost))
    }

    /** Marks slots as revoked; their holders leave. */
    fun revoke(tickets: List<Long>) {
        tickets.forEach { held[it]?.revoked?.complete(Unit) }
    }

    /** Tells the owners of the slots held here that they are still in use, until cancelled. */
    suspend fun confirmHeldSlots() {
        var confirmedHosts = emptyMap<PoolName, Set<HostId>>()
        var confirmedAt = clock()
        while (true) {
            delay(OWNER_CHECK_INTERVAL)
            val permits = held.values.mapNotNull { it.permit }.groupBy { it.ask.pool }
            val current = permits.mapValues { (pool, _) -> control.snapshot.fleet.slotOwners(pool, clock()) }
            val hosts = current.mapValues { (_, members) -> members.map { it.host }.toSet() }
            if (hosts != confirmedHosts || clock() - confirmedAt > CONFIRM_INTERVAL) {
                current.values.flatten().distinctBy { it.host }.forEach { owner ->
                    confirm(owner, permits.filterKeys { owner in current.getValue(it) }.values.flatten())
                }
                confirmedHosts = hosts
                confirmedAt = clock()
            }
        }
    }

    private suspend fun confirm(owner: FleetMember, permits: List<HeldPermit>) {
        val slots = permits.map { HeldSlot(it.ask, it.upstream.id) }
        if (owner.host == self) localOwner.confirm(self, slots) else remoteOwners.confirm(owner, HeldSlots(self, slots))
    }

    private fun returnUnusableSlot(granted: SlotAnswer.Granted?, owner: FleetMember?, ask: SlotAsk) {
        if (granted != null) {
            log.warn { "slot ${ask.ticket} goes back: upstream ${granted.upstream} is leaving or unknown" }
            sendRelease(owner, SlotRelease(ask.ticket, UseResult.ABANDONED, 0))
        }
    }

    private fun sendRelease(owner: FleetMember?, release: SlotRelease) {
        scope.launch { if (owner == null) localOwner.release(release) else remoteOwners.release(owner, release) }
    }

    /** No slot; [unusableUpstream] is the upstream of one that was given back. */
    private data class AcquireFailure(
        val refusal: Refusal,
        val unusableUpstream: UpstreamId?,
    )

    private data class TicketState(
        val revoked: CompletableDeferred<Unit>,
        val permit: HeldPermit? = null,
    )
}

/** The key by which the owner of the slots of [pool] is found. */
internal fun slotKey(pool: PoolName): String = "slots/$pool"

/** The hosts that give out slots of [pool]: to online work, and to batch work. */
private fun Fleet.slotOwners(pool: PoolName, now: Moment): Set<FleetMember> =
    setOfNotNull(ranked(slotKey(pool), now).firstOrNull(), batchOwner(pool, now))

internal fun Fleet.batchOwner(pool: PoolName, now: Moment): FleetMember? = settledOwner(slotKey(pool), now)

private fun refusalOf(response: SlotAnswer): Refusal = when (response) {
    is SlotAnswer.Full -> Refusal.Overloaded("every upstream", response.retryAfter)
    is SlotAnswer.Granted, SlotAnswer.NoUpstream -> Refusal.NoUpstream("this route")
}
