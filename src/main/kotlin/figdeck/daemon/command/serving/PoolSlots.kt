package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.dispatch.SlotOutcome
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
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.query.serving.ranked
import figdeck.query.serving.settledOwner
import figdeck.query.serving.usableUpstream
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
private val OWNER_CHECK = 100.milliseconds

/** How many slots at upstreams that take no work are given back before a refusal; several may leave at once. */
private const val MAX_MISPLACED = 3

private val log = PartLog("slots")

/**
 * A slot that this host holds.
 *
 * @property revoked completes when it must be given back at once.
 */
internal data class HeldPermit(
    val ask: SlotRequest,
    val upstream: Upstream,
    val owner: FleetMember?,
    val revoked: Deferred<Unit>,
)

/** The slots that this host holds, wherever they are given out. */
internal class PoolSlots(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val own: SlotOwner,
    private val owners: SlotOwnerCalls,
    private val scope: CoroutineScope,
) {
    private val questions = OwnerQuestions(control, clock, own, owners)
    private val held = ConcurrentHashMap<Long, Holding>()

    /** This host. */
    val self: HostId get() = control.snapshot.fleet.self.host

    /**
     * Waits for a slot of the pool of [ask]. An owner that has lost the store may give out slots at upstreams that this
     * host knows to be leaving; such slots go back.
     */
    suspend fun acquire(ask: SlotRequest): Either<Refusal, HeldPermit> {
        var current = ask
        var misplaced = 0
        var result: Either<Refusal, HeldPermit>? = null
        while (result == null) {
            val grant = acquireOnce(current)
            val upstream = grant.leftOrNull()?.misplacedAt
            if (upstream == null || misplaced == MAX_MISPLACED) {
                result = grant.mapLeft { it.refusal }
            } else {
                misplaced++
                current = current.copy(ticket = current.ticket + 1, excluded = current.excluded + upstream)
            }
        }
        return result
    }

    private suspend fun acquireOnce(ask: SlotRequest): Either<NoSlot, HeldPermit> {
        val holding = Holding(CompletableDeferred())
        held[ask.ticket] = holding
        val answer = try {
            questions.ask(ask)
        } catch (e: CancellationException) {
            held.remove(ask.ticket)
            throw e
        }
        val granted = answer.first as? SlotResponse.Granted
        val upstream = granted?.let {
            control.snapshot.pools.members.usableUpstream(ask.pool, ask.excluded, it.upstream)
        }
        return if (upstream == null) {
            held.remove(ask.ticket)
            giveBack(granted, answer.second, ask)
            NoSlot(refusalOf(answer.first), granted?.upstream).left()
        } else {
            val permit = HeldPermit(ask, upstream, answer.second, holding.revoked)
            held[ask.ticket] = holding.copy(permit = permit)
            permit.right()
        }
    }

    /** Gives a slot back. */
    fun release(permit: HeldPermit, use: SlotOutcome, cost: Int) {
        held.remove(permit.ask.ticket)
        send(permit.owner, SlotRelease(permit.ask.ticket, use, cost))
    }

    /** Marks slots as revoked; their holders leave. */
    fun revoke(tickets: List<Long>) {
        tickets.forEach { held[it]?.revoked?.complete(Unit) }
    }

    /** Tells the owners of the slots held here that they are still in use, until cancelled. */
    suspend fun confirmHeld() {
        var told = emptyMap<PoolName, Set<HostId>>()
        var lastAt = clock()
        while (true) {
            delay(OWNER_CHECK)
            val permits = held.values.mapNotNull { it.permit }.groupBy { it.ask.pool }
            val current = permits.mapValues { (pool, _) -> control.snapshot.fleet.slotOwners(pool, clock()) }
            val hosts = current.mapValues { (_, members) -> members.map { it.host }.toSet() }
            if (hosts != told || clock() - lastAt > CONFIRM_INTERVAL) {
                current.values.flatten().distinctBy { it.host }.forEach { owner ->
                    confirm(owner, permits.filterKeys { owner in current.getValue(it) }.values.flatten())
                }
                told = hosts
                lastAt = clock()
            }
        }
    }

    private suspend fun confirm(owner: FleetMember, permits: List<HeldPermit>) {
        val slots = permits.map { HeldSlot(it.ask, it.upstream.id) }
        if (owner.host == self) own.confirm(self, slots) else owners.confirm(owner, HeldSlots(self, slots))
    }

    private fun giveBack(granted: SlotResponse.Granted?, owner: FleetMember?, ask: SlotRequest) {
        if (granted != null) {
            log.warn { "slot ${ask.ticket} goes back: upstream ${granted.upstream} is leaving or unknown" }
            send(owner, SlotRelease(ask.ticket, SlotOutcome.ABANDONED, 0))
        }
    }

    private fun send(owner: FleetMember?, release: SlotRelease) {
        scope.launch { if (owner == null) own.release(release) else owners.release(owner, release) }
    }

    /** No slot; [misplacedAt] is the upstream of one that was given back. */
    private data class NoSlot(
        val refusal: Refusal,
        val misplacedAt: UpstreamId?,
    )

    private data class Holding(
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

private fun refusalOf(answer: SlotResponse): Refusal = when (answer) {
    is SlotResponse.Full -> Refusal.Overloaded("every upstream", answer.retryAfter)
    is SlotResponse.Granted, SlotResponse.NoUpstream -> Refusal.NoUpstream("this route")
}
