package figdeck.daemon.command.serving

import arrow.core.Either
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
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
import figdeck.model.serving.SlotAnswer
import figdeck.model.serving.SlotAsk
import figdeck.query.serving.usableUpstreams
import figdeck.wire.serving.SlotRelease
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a slot stays with a holder that doesn't confirm it; several times the interval of confirmations. */
private val HOLDER_TIMEOUT = 2_500.milliseconds
private val CHECK_INTERVAL = 500.milliseconds

/** Batch work waits for whatever online work leaves, so its deadline never makes it hopeless. */
private val BATCH_DEADLINE = 600.seconds
private val FULL_PAUSE = 300.milliseconds

/** How long after the last question for a pool this host begins anew with the next one. */
private val SERVED_GAP = 5.seconds

/** How long an owner that begins gives nothing to batch work; holders confirm their slots meanwhile. */
private val NEW_FOR = 800.milliseconds

/** Gives out the slots of the pools that this host serves, to itself and to other hosts. */
internal class SlotOwner(
    private val slots: SlotDispatcher,
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val onRevoked: (HostId, Long) -> Unit,
) {
    private val held = ConcurrentHashMap<Long, Confirmed>()
    private val served = ConcurrentHashMap<PoolName, Served>()

    /** Answers [ask] as soon as there is a slot, or when its patience ends. */
    suspend fun acquire(ask: SlotAsk): SlotAnswer {
        val candidates = control.snapshot.pools.members.usableUpstreams(ask.pool, ask.without)
        val isEarly = isNewTo(ask.pool) && ask.lane == Lane.BATCH
        val answer = if (candidates.isEmpty() || isEarly) null else wait(ask, candidates)
        return when {
            candidates.isEmpty() -> SlotAnswer.NoUpstream
            answer == null -> SlotAnswer.Full(FULL_PAUSE)
            else -> answer.fold(
                { SlotAnswer.Full(it.retryAfter ?: FULL_PAUSE) },
                { permit ->
                    hold(ask, permit)
                    SlotAnswer.Granted(permit.upstream.id)
                },
            )
        }
    }

    /** Takes a slot back. */
    suspend fun release(release: SlotRelease) {
        val slot = held.remove(release.ticket) ?: return
        slots.dispatcher.release(slot.permit, release.outcome, release.cost)
        if (release.outcome == SlotOutcome.GONE) {
            control.run { state, _ -> updatePools(state) { removeImmediately(it, slot.permit.upstream.id) } }
        }
    }

    /**
     * Takes the list of all slots that [from] holds here: those unknown were given out by an owner before this one, and
     * those missing are free, unless they were granted while the list was on its way.
     */
    suspend fun confirm(from: HostId, list: List<HeldSlot>) {
        val now = clock()
        for (slot in list) {
            val known = held[slot.ask.ticket]
            if (known == null) {
                adopt(slot)
            } else {
                held[slot.ask.ticket] = known.copy(confirmedAt = now)
            }
        }
        val listed = list.map { it.ask.ticket }.toSet()
        dropWhere { it.host == from && it.permit.id !in listed && now - it.grantedAt > CHECK_INTERVAL }
    }

    /** Takes back the slots of hosts that are silent, until cancelled. */
    suspend fun dropSilent() {
        while (true) {
            delay(CHECK_INTERVAL)
            val now = clock()
            dropWhere { now - it.confirmedAt > HOLDER_TIMEOUT }
        }
    }

    /** Whether this host began with the slots of [pool] so lately that holders may not have told of theirs. */
    private fun isNewTo(pool: PoolName): Boolean {
        val now = clock()
        val current = served.compute(pool) { _, known ->
            if (known == null || now - known.lastAt > SERVED_GAP) Served(now, now) else known.copy(lastAt = now)
        }
        return current != null && now - current.since < NEW_FOR
    }

    private suspend fun wait(ask: SlotAsk, candidates: List<Upstream>): Either<Refusal, Permit>? =
        withTimeoutOrNull(ask.patience) { slots.acquire(ask.ticket, ask.toRequest(candidates)) }

    private suspend fun adopt(slot: HeldSlot) {
        val upstream = control.snapshot.pools.members[slot.upstream]?.upstream ?: return
        hold(slot.ask, slots.adopt(slot.ask.ticket, slot.ask.toRequest(listOf(upstream)), upstream))
    }

    private fun hold(ask: SlotAsk, permit: Permit) {
        val now = clock()
        held[ask.ticket] = Confirmed(ask.from, permit, now, now)
        permit.revoked.invokeOnCompletion { onRevoked(ask.from, ask.ticket) }
    }

    private suspend fun dropWhere(isOver: (Confirmed) -> Boolean) {
        for (slot in held.values.filter(isOver)) {
            release(SlotRelease(slot.permit.id, SlotOutcome.ABANDONED, 0))
        }
    }

    private fun SlotAsk.toRequest(candidates: List<Upstream>) = DispatchRequest(
        candidates = candidates,
        team = team,
        weight = 1,
        lane = lane,
        cost = cost,
        affinity = affinity,
        deadline = clock() + if (lane == Lane.BATCH) BATCH_DEADLINE - age else patience,
        isTardy = isTardy,
        slotTimeUsed = spent,
    )

    private data class Served(
        val since: Moment,
        val lastAt: Moment,
    )

    private data class Confirmed(
        val host: HostId,
        val permit: Permit,
        val grantedAt: Moment,
        val confirmedAt: Moment,
    )
}

/** The ways between data centres and the delays of busy hosts. */
private val ANSWER_MARGIN = 120.milliseconds

/** How long a host waits beyond an ask's patience until it holds the owner for lost. */
internal val SlotAsk.timeout: Duration get() = patience + ANSWER_MARGIN
