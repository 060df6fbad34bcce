package figdeck.bench

import figdeck.command.dispatch.heldSlots
import figdeck.command.dispatch.occupiedSlots
import figdeck.model.Lane
import figdeck.model.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val BATCH_ITEMS_PER_SLOT = 3.0
private const val HOT_TEAM_BATCH_FACTOR = 10
private val TICK_INTERVAL = 50.milliseconds
private val RUNNER_LOST_AT = 20.seconds
private val RUNNER_RESTORED_AT = 40.seconds

/** Runs one [scenario] in virtual time. */
internal class Simulation(private val scenario: Scenario) {
    private val clock = VirtualClock()
    private val random = Random(scenario.seed.inv())
    private val fleet = FleetModel(scenario)
    private val measurements = MeasurementsBuilder(scenario)
    private val requestSimulator = RequestSimulator(scenario, clock, fleet, measurements, ::nextBatchItem)

    fun run(): Measurements {
        if (scenario.online) {
            onlineTrace(scenario.shape, scenario.seed).forEach { item -> clock.schedule(item.at) { arrive(item) } }
        }
        if (scenario.batch) {
            startBatch()
        }
        if (scenario.shape.traceKind == TraceKind.RUNNER_LOSS) {
            clock.schedule(RUNNER_LOST_AT) { requestSimulator.failRunner(0) }
            clock.schedule(RUNNER_RESTORED_AT) { fleet.restoreRunner(0) }
        }
        repeatEvery(TICK_INTERVAL) { requestSimulator.tickAll() }
        repeatEvery(scenario.scheduling.reportInterval) { fleet.updateReportedLoads(::load) }
        clock.runUntil(scenario.shape.duration)
        return measurements.build()
    }

    private fun repeatEvery(interval: Duration, action: () -> Unit) {
        clock.schedule(interval) {
            action()
            repeatEvery(interval, action)
        }
    }

    private fun startBatch() {
        val itemsPerTeam = (fleet.totalSlots * BATCH_ITEMS_PER_SLOT / scenario.deployment.teams).toInt().coerceAtLeast(
            1
        )
        repeat(scenario.deployment.teams) { team ->
            repeat(if (isHot(scenario.shape.traceKind, team)) itemsPerTeam * HOT_TEAM_BATCH_FACTOR else itemsPerTeam) {
                nextBatchItem(team)
            }
        }
    }

    private fun nextBatchItem(team: Int) {
        arrive(batchItem(clock.now - Moment(0, 0), team, random))
    }

    private fun arrive(item: TraceItem) {
        measurements.arrived(item)
        requestSimulator.requestSlot(InFlightRequest(item, random.nextInt(scenario.deployment.hosts), clock.now))
    }

    /** Returns the load of [runner] in [lane] that load reports show to hosts. */
    private fun load(runner: Int, lane: Lane): Int {
        val scheduling = scenario.scheduling
        val state =
            if (scheduling.dividedSlots) null else requestSimulator.states[runner].upstreams.values.firstOrNull()
        return when {
            state == null || !scheduling.reportedByOwner -> fleet.engines[runner].running
            lane == Lane.ONLINE -> state.heldSlots(lane) + state.online.waiting.size
            else -> state.occupiedSlots + state.online.waiting.size + state.batch.waiting.size
        }
    }
}
