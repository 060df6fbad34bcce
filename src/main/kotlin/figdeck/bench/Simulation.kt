package figdeck.bench

import figdeck.command.dispatch.heldSlots
import figdeck.command.dispatch.occupiedSlots
import figdeck.model.Lane
import figdeck.model.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val BATCH_PER_SLOT = 3.0
private const val HOT_BATCH = 10
private val TICK = 50.milliseconds
private val LOST_AT = 20.seconds
private val BACK_AT = 40.seconds

/** Runs one [scenario] in virtual time. */
internal class Simulation(private val scenario: Scenario) {
    private val time = VirtualTime()
    private val random = Random(scenario.seed.inv())
    private val fleet = FleetModel(scenario)
    private val measures = MeasuresBuilder(scenario)
    private val flights = Flights(scenario, time, fleet, measures, ::nextBatchItem)

    fun run(): Measures {
        if (scenario.online) {
            onlineTrace(scenario.shape, scenario.seed).forEach { item -> time.after(item.at) { arrive(item) } }
        }
        if (scenario.batch) {
            startBatch()
        }
        if (scenario.shape.load == TraceKind.RUNNER_LOSS) {
            time.after(LOST_AT) { flights.loseRunner(0) }
            time.after(BACK_AT) { fleet.restore(0) }
        }
        repeatEvery(TICK) { flights.tickAll() }
        repeatEvery(scenario.scheduling.reports) { fleet.report(::load) }
        time.runUntil(scenario.shape.length)
        return measures.build()
    }

    private fun repeatEvery(interval: Duration, action: () -> Unit) {
        time.after(interval) {
            action()
            repeatEvery(interval, action)
        }
    }

    private fun startBatch() {
        val each = (fleet.slots * BATCH_PER_SLOT / scenario.deployment.teams).toInt().coerceAtLeast(1)
        repeat(scenario.deployment.teams) { team ->
            repeat(if (isHot(scenario.shape.load, team)) each * HOT_BATCH else each) { nextBatchItem(team) }
        }
    }

    private fun nextBatchItem(team: Int) {
        arrive(batchItem(time.now - Moment(0, 0), team, random))
    }

    private fun arrive(item: TraceItem) {
        measures.arrived(item)
        flights.ask(Flight(item, random.nextInt(scenario.deployment.hosts), time.now))
    }

    /** The load of [runner] as hosts hear of it. */
    private fun load(runner: Int, lane: Lane): Int {
        val scheduling = scenario.scheduling
        val state = if (scheduling.dividedSlots) null else flights.states[runner].upstreams.values.firstOrNull()
        return when {
            state == null || !scheduling.ownerReports -> fleet.engines[runner].running
            lane == Lane.ONLINE -> state.heldSlots(lane) + state.online.waiting.size
            else -> state.occupiedSlots + state.online.waiting.size + state.batch.waiting.size
        }
    }
}
