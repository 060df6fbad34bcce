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

private const val MAX_OWNER_ATTEMPTS = 3
private const val EXPECTED_ANSWER_TOKENS = 100
private val BATCH_TIMEOUT = 3_600.seconds

/**
 * A request that the fleet is processing.
 *
 * @property avoidedOwners the owners that refused the request or whose runner was lost.
 * @property generated the number of answer tokens generated so far, by all attempts.
 */
internal class InFlightRequest(val item: TraceItem, val host: Int, val arrivedAt: Moment) {
    val avoidedOwners = mutableSetOf<Int>()
    var generated = 0
    var firstTokenAt: Moment? = null
    var attempt = 0
    var runner = -1
    var owner = -1
}

/**
 * Simulates requests between hosts, slot owners and engines. It runs the dispatch decisions of the product; network and
 * engines are models.
 */
internal class RequestSimulator(
    private val scenario: Scenario,
    private val clock: VirtualClock,
    private val fleet: FleetModel,
    private val measurements: MeasurementsBuilder,
    private val onBatchItemDone: (team: Int) -> Unit,
) {
    private val random = Random(scenario.seed)
    private val policy = scenario.scheduling.policy
    val states = Array<DispatchState>(fleet.ownerCount) { emptyDispatch(fleet.centreOfOwner(it)) }
    private val requestsByTicket = HashMap<Long, InFlightRequest>()
    private var lastTicket = 0L

    fun requestSlot(inFlight: InFlightRequest) {
        val ticket = ++lastTicket
        requestsByTicket[ticket] = inFlight
        val request = request(inFlight, fleet, scenario)
        val randomDraw = random.nextLong()
        inFlight.owner = fleet.chooseOwner(inFlight, request, randomDraw)
        val candidates = fleet.candidatesOf(inFlight.owner)
        clock.schedule(fleet.latency(inFlight.host, inFlight.owner)) {
            val arrival = Arrival(ticket, request.copy(candidates = candidates), randomDraw)
            applyDecision(inFlight.owner) { admit(it, arrival, policy, clock.now) }
        }
    }

    fun tickAll() {
        states.indices.forEach { owner -> applyDecision(owner) { tick(it, policy, clock.now) } }
    }

    fun failRunner(runner: Int) {
        fleet.failRunner(runner).forEach { end(it, SlotOutcome.FAILED) }
    }

    private fun applyDecision(owner: Int, decision: (DispatchState) -> DispatchStep) {
        val step = decision(states[owner])
        states[owner] = step.state
        step.result.forEach { effect ->
            requestsByTicket[effect.ticket]?.let { inFlight ->
                clock.schedule(fleet.latency(owner, inFlight.host)) { applyEffect(effect, inFlight) }
            }
        }
    }

    private fun applyEffect(effect: DispatchEffect, inFlight: InFlightRequest) {
        when (effect) {
            is DispatchEffect.Granted -> start(effect.ticket, inFlight, effect.upstream.id)
            is DispatchEffect.Revoked -> {
                fleet.engines[inFlight.runner].cancel(effect.ticket)
                end(effect.ticket, SlotOutcome.ABANDONED)
            }
            is DispatchEffect.Refused -> refuse(effect, inFlight)
        }
    }

    private fun refuse(effect: DispatchEffect.Refused, inFlight: InFlightRequest) {
        requestsByTicket.remove(effect.ticket)
        val wait = effect.refusal.retryAfter ?: 1.seconds
        inFlight.avoidedOwners += inFlight.owner
        when {
            inFlight.item.lane == Lane.BATCH -> clock.schedule(
                wait
            ) { requestSlot(inFlight.also { it.avoidedOwners.clear() }) }
            inFlight.avoidedOwners.size < MAX_OWNER_ATTEMPTS && !scenario.scheduling.dividedSlots -> requestSlot(
                inFlight
            )
            else -> measurements.refused(inFlight.item)
        }
    }

    private fun start(ticket: Long, inFlight: InFlightRequest, upstream: UpstreamId) {
        inFlight.runner = fleet.indexOf(upstream)
        if (fleet.isLost[inFlight.runner]) {
            end(ticket, SlotOutcome.FAILED)
        } else {
            val engine = fleet.engines[inFlight.runner]
            engine.start(ticket, inFlight.item, inFlight.generated)
            if (!engine.isStepping) {
                step(engine)
            }
        }
    }

    private fun step(engine: EngineModel) {
        clock.schedule(engine.beginStep()) {
            engine.endStep().forEach { progress(it) }
            if (engine.running > 0) step(engine) else engine.stopStepping()
        }
    }

    private fun progress(progress: SequenceProgress) {
        val inFlight = requestsByTicket[progress.ticket] ?: return
        inFlight.generated++
        if (inFlight.firstTokenAt == null) {
            inFlight.firstTokenAt = clock.now
            measurements.firstToken(inFlight.item, clock.now - inFlight.arrivedAt)
        }
        measurements.generated(inFlight.item)
        if (progress.finished) {
            measurements.finished(inFlight.item, clock.now - inFlight.arrivedAt <= ONLINE_TIMEOUT)
            end(progress.ticket, SlotOutcome.ANSWERED)
        }
    }

    private fun end(ticket: Long, outcome: SlotOutcome) {
        val inFlight = requestsByTicket.remove(ticket) ?: return
        val owner = inFlight.owner
        val release = Release(ticket, outcome, inFlight.generated, random.nextLong())
        clock.schedule(
            fleet.latency(inFlight.host, owner)
        ) { applyDecision(owner) { release(it, release, policy, clock.now) } }
        when (outcome) {
            SlotOutcome.FAILED, SlotOutcome.GONE -> {
                inFlight.attempt++
                inFlight.avoidedOwners += owner
                requestSlot(inFlight)
            }
            SlotOutcome.ABANDONED -> requestSlot(inFlight)
            SlotOutcome.ANSWERED -> if (inFlight.item.lane == Lane.BATCH) onBatchItemDone(inFlight.item.team)
        }
    }
}

private fun request(inFlight: InFlightRequest, fleet: FleetModel, scenario: Scenario): DispatchRequest {
    val item = inFlight.item
    val timeout = if (item.lane == Lane.ONLINE) ONLINE_TIMEOUT else BATCH_TIMEOUT
    return DispatchRequest(
        candidates = fleet.upstreams,
        team = TeamId("team-${item.team}"),
        weight = 1,
        lane = if (scenario.scheduling.priorities) item.lane else Lane.ONLINE,
        cost = EXPECTED_ANSWER_TOKENS,
        affinity = item.prefix.toLong(),
        deadline = inFlight.arrivedAt + timeout,
        attempt = inFlight.attempt,
    )
}
