package figdeck.bench

import figdeck.command.dispatch.Arrival
import figdeck.command.dispatch.DispatchEffect
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.DispatchStep
import figdeck.command.dispatch.Release
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.admit
import figdeck.command.dispatch.emptyDispatch
import figdeck.command.dispatch.release
import figdeck.command.dispatch.tick
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val TRIES = 3
private const val EXPECTED_TOKENS = 100
private val BATCH_PATIENCE = 3_600.seconds

/** A request on its way through the fleet. */
internal class Flight(val item: TraceItem, val host: Int, val cameAt: Moment) {
    val avoided = mutableSetOf<Int>()
    var generated = 0
    var firstTokenAt: Moment? = null
    var attempt = 0
    var runner = -1
    var owner = -1
}

/** Carries requests between hosts, owners and engines: the decisions are the real ones, the rest a model. */
internal class Flights(
    private val scenario: Scenario,
    private val time: VirtualTime,
    private val fleet: FleetModel,
    private val measures: MeasuresBuilder,
    private val batchDone: (team: Int) -> Unit,
) {
    private val random = Random(scenario.seed)
    private val policy = scenario.scheduling.policy
    val states = Array<DispatchState>(fleet.owners) { emptyDispatch(fleet.centreOfOwner(it)) }
    private val underway = HashMap<Long, Flight>()
    private var lastTicket = 0L

    fun ask(flight: Flight) {
        val ticket = ++lastTicket
        underway[ticket] = flight
        val request = request(flight, fleet, scenario)
        val draw = random.nextLong()
        flight.owner = fleet.choose(flight, request, draw)
        val candidates = fleet.candidatesOf(flight.owner)
        time.after(fleet.hop(flight.host, flight.owner)) {
            val arrival = Arrival(ticket, request.copy(candidates = candidates), draw)
            decide(flight.owner) { admit(it, arrival, policy, time.now) }
        }
    }

    fun tickAll() {
        states.indices.forEach { owner -> decide(owner) { tick(it, policy, time.now) } }
    }

    fun loseRunner(runner: Int) {
        fleet.lose(runner).forEach { end(it, SlotOutcome.FAILED) }
    }

    private fun decide(owner: Int, decision: (DispatchState) -> DispatchStep) {
        val step = decision(states[owner])
        states[owner] = step.state
        step.result.forEach { effect ->
            underway[effect.ticket]?.let { flight ->
                time.after(fleet.hop(owner, flight.host)) { carryOut(effect, flight) }
            }
        }
    }

    private fun carryOut(effect: DispatchEffect, flight: Flight) {
        when (effect) {
            is DispatchEffect.Granted -> start(effect.ticket, flight, effect.upstream.id)
            is DispatchEffect.Revoked -> {
                fleet.engines[flight.runner].cancel(effect.ticket)
                end(effect.ticket, SlotOutcome.ABANDONED)
            }
            is DispatchEffect.Refused -> refuse(effect, flight)
        }
    }

    private fun refuse(effect: DispatchEffect.Refused, flight: Flight) {
        underway.remove(effect.ticket)
        val wait = effect.refusal.retryAfter ?: 1.seconds
        flight.avoided += flight.owner
        when {
            flight.item.lane == Lane.BATCH -> time.after(wait) { ask(flight.also { it.avoided.clear() }) }
            flight.avoided.size < TRIES && !scenario.scheduling.dividedSlots -> ask(flight)
            else -> measures.refused(flight.item)
        }
    }

    private fun start(ticket: Long, flight: Flight, upstream: UpstreamId) {
        flight.runner = fleet.index(upstream)
        if (fleet.lost[flight.runner]) {
            end(ticket, SlotOutcome.FAILED)
        } else {
            val engine = fleet.engines[flight.runner]
            engine.start(ticket, flight.item, flight.generated)
            if (!engine.isStepping) {
                step(engine)
            }
        }
    }

    private fun step(engine: EngineModel) {
        time.after(engine.beginStep()) {
            engine.endStep().forEach { progress(it) }
            if (engine.running > 0) step(engine) else engine.rest()
        }
    }

    private fun progress(progress: Progress) {
        val flight = underway[progress.ticket] ?: return
        flight.generated++
        if (flight.firstTokenAt == null) {
            flight.firstTokenAt = time.now
            measures.firstToken(flight.item, time.now - flight.cameAt)
        }
        measures.generated(flight.item)
        if (progress.finished) {
            measures.finished(flight.item, time.now - flight.cameAt <= PATIENCE)
            end(progress.ticket, SlotOutcome.ANSWERED)
        }
    }

    private fun end(ticket: Long, use: SlotOutcome) {
        val flight = underway.remove(ticket) ?: return
        val owner = flight.owner
        val release = Release(ticket, use, flight.generated, random.nextLong())
        time.after(fleet.hop(flight.host, owner)) { decide(owner) { release(it, release, policy, time.now) } }
        when (use) {
            SlotOutcome.FAILED, SlotOutcome.GONE -> {
                flight.attempt++
                flight.avoided += owner
                ask(flight)
            }
            SlotOutcome.ABANDONED -> ask(flight)
            SlotOutcome.ANSWERED -> if (flight.item.lane == Lane.BATCH) batchDone(flight.item.team)
        }
    }
}

private fun request(flight: Flight, fleet: FleetModel, scenario: Scenario): DispatchRequest {
    val item = flight.item
    val patience = if (item.lane == Lane.ONLINE) PATIENCE else BATCH_PATIENCE
    return DispatchRequest(
        candidates = fleet.upstreams,
        team = TeamId("team-${item.team}"),
        weight = 1,
        lane = if (scenario.scheduling.priorities) item.lane else Lane.ONLINE,
        cost = EXPECTED_TOKENS,
        affinity = item.prefix.toLong(),
        deadline = flight.cameAt + patience,
        attempt = flight.attempt,
    )
}
