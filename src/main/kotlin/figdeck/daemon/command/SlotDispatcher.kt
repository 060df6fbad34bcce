package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.dispatch.Arrival
import figdeck.command.dispatch.DispatchEffect
import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.DispatchStep
import figdeck.command.dispatch.IsWithdrawn
import figdeck.command.dispatch.Release
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.admit
import figdeck.command.dispatch.adoptSlot
import figdeck.command.dispatch.awaitsTokens
import figdeck.command.dispatch.cancelTicket
import figdeck.command.dispatch.refuseOverdue
import figdeck.command.dispatch.release
import figdeck.command.dispatch.tick
import figdeck.command.dispatch.withdrawUpstreams
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.changeDispatch
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Upstream
import figdeck.model.serving.SlotUsage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val TICK_INTERVAL = 50.milliseconds

/** The interval while requests wait for the tokens of cold upstreams, which come at intervals near [TICK_INTERVAL]. */
private val TOKEN_TICK_INTERVAL = 20.milliseconds

/**
 * The slots that this host grants.
 *
 * @property now returns the latest state of the slots.
 * @property decide runs a decision on the control thread.
 */
internal data class LocalSlots(
    val now: () -> DispatchState,
    val decide: suspend ((DispatchState, Moment) -> DispatchStep) -> List<DispatchEffect>,
)

/** Runs decisions on slots and delivers their effects to the requests that wait for slots or hold them. */
internal class SlotDispatcher(
    private val slots: LocalSlots,
    private val policy: DispatchPolicy,
    private val random: Random,
) {
    constructor(control: Control<ControlState>, policy: DispatchPolicy, random: Random) : this(
        LocalSlots(
            now = { control.snapshot.dispatch },
            decide = { decision -> control.run { state, now -> changeDispatch(state) { decision(it, now) } } },
        ),
        policy,
        random,
    )

    private val holders = ConcurrentHashMap<Long, TicketHolder>()
    private val lastTicket = AtomicLong()

    val dispatcher: Dispatcher = Dispatcher(
        acquire = { request -> acquire(lastTicket.incrementAndGet(), request) },
        release = { permit, outcome, cost -> release(permit, outcome, cost) },
    )

    /** Wakes [tickPeriodically] when a request begins to wait. */
    private val waiting = Channel<Unit>(Channel.CONFLATED)

    /**
     * Runs a tick every [interval] while requests wait, so that slots that become free with time are granted, until
     * cancelled.
     */
    suspend fun tickPeriodically(interval: Duration = TICK_INTERVAL) {
        while (true) {
            val isIdle = slots.now().upstreams.values
                .none { it.online.waiting.isNotEmpty() || it.batch.waiting.isNotEmpty() }
            if (isIdle) {
                waiting.receive()
            }
            delay(if (slots.now().awaitsTokens) minOf(interval, TOKEN_TICK_INTERVAL) else interval)
            decide { state, now -> tick(state, policy, now) }
        }
    }

    /** Records the slot that [ticket] already holds at [upstream] and returns its permit. */
    suspend fun adopt(ticket: Long, request: DispatchRequest, upstream: Upstream): Permit {
        val holder = TicketHolder(CompletableDeferred(), CompletableDeferred())
        holders[ticket] = holder
        decide { state, now -> adoptSlot(state, ticket, request, upstream, now) }
        return Permit(ticket, upstream, holder.revoked)
    }

    /** Waits for a slot under a [ticket] that no other request uses. */
    suspend fun acquire(ticket: Long, request: DispatchRequest): Either<Refusal, Permit> {
        val holder = TicketHolder(CompletableDeferred(), CompletableDeferred())
        holders[ticket] = holder
        return try {
            decide { state, now -> admit(state, Arrival(ticket, request, random.nextLong()), policy, now) }
            if (!holder.granted.isCompleted) {
                waiting.trySend(Unit)
            }
            holder.granted.await().onLeft { holders.remove(ticket) }
        } catch (e: CancellationException) {
            holders.remove(ticket)
            decide { state, now -> cancelTicket(state, ticket, policy, now) }
            throw e
        }
    }

    /** Refuses the request under [ticket], which has waited in vain. Returns when its caller may come back. */
    suspend fun refuseOverdue(ticket: Long, request: DispatchRequest): Duration? {
        val effects = slots.decide { state, now -> refuseOverdue(state, Arrival(ticket, request, 0), now) }
        return effects.filterIsInstance<DispatchEffect.Refused>().firstNotNullOfOrNull { it.refusal.retryAfter }
    }

    /** Moves the requests that wait at withdrawn upstreams to others. */
    suspend fun withdraw(isWithdrawn: IsWithdrawn) =
        decide { state, now -> withdrawUpstreams(state, isWithdrawn, random.nextLong(), policy, now) }

    /** Frees the slot of [permit]. The [usage] is what its holder has seen of a generation; null if it saw none. */
    suspend fun release(permit: Permit, slotOutcome: SlotOutcome, cost: Int, usage: SlotUsage? = null) {
        holders.remove(permit.id)
        decide { state, now ->
            release(state, Release(permit.id, slotOutcome, cost, random.nextLong(), usage), policy, now)
        }
    }

    /**
     * Runs [decision] and delivers its effects. Not cancellable, so that the effects of every decision are delivered.
     */
    private suspend fun decide(decision: (DispatchState, Moment) -> DispatchStep) {
        withContext(NonCancellable) {
            slots.decide(decision).forEach { deliver(it) }
        }
    }

    private fun deliver(effect: DispatchEffect) {
        val holder = holders[effect.ticket] ?: return
        when (effect) {
            is DispatchEffect.Granted ->
                holder.granted.complete(effect.toPermit(holder).right())
            is DispatchEffect.Revoked -> holder.revoked.complete(Unit)
            is DispatchEffect.Refused -> holder.granted.complete(effect.refusal.left())
        }
    }
}

private fun DispatchEffect.Granted.toPermit(holder: TicketHolder) =
    Permit(ticket, upstream, holder.revoked, answerWithin)

/** The request that waits for a slot under a ticket, or holds one. */
private class TicketHolder(
    val granted: CompletableDeferred<Either<Refusal, Permit>>,
    val revoked: CompletableDeferred<Unit>,
)
