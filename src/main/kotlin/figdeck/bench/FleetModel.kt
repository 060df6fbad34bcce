package figdeck.bench

import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.UpstreamView
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Lane
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

private val WITHIN_CENTRE_LATENCY = 100.microseconds
private val TYPICAL_SLOT_HOLD = 2.seconds
private val PLACEHOLDER_ADDRESS = Address("127.0.0.1", 1)

/** The runners of a deployment, the owners of their slots and the runner loads that hosts know of. */
internal class FleetModel(private val scenario: Scenario) {
    private val deployment = scenario.deployment
    private val hasDividedSlots = scenario.scheduling.dividedSlots
    val engines = List(deployment.runners) { EngineModel(EngineSpeed(deployment.slots)) }
    val isLost = BooleanArray(deployment.runners)
    private var reportedLoads = List(deployment.runners) { Lane.entries.associateWith { 0 } }
    private val sentSinceReport = Array(deployment.hosts) { IntArray(deployment.runners) }
    private val slotsPerUpstream =
        if (hasDividedSlots) (deployment.slots / deployment.hosts).coerceAtLeast(1) else deployment.slots

    val ownerCount: Int = if (hasDividedSlots) deployment.hosts else deployment.runners
    val totalSlots: Int = deployment.slots * deployment.runners
    val upstreams: List<Upstream> = List(deployment.runners) {
        val kind = UpstreamKind.ENGINE
        Upstream(
            UpstreamId("runner-$it"),
            PLACEHOLDER_ADDRESS,
            centre(it),
            kind,
            slotsPerUpstream,
            honoursFencing = false
        )
    }

    fun indexOf(id: UpstreamId): Int = upstreams.indexOfFirst { it.id == id }

    fun failRunner(runner: Int): List<Long> {
        isLost[runner] = true
        return engines[runner].fail()
    }

    fun restoreRunner(runner: Int) {
        isLost[runner] = false
    }

    fun centreOfOwner(owner: Int): DataCentre = if (hasDividedSlots) centre(owner) else centre(ownerHost(owner))

    /** Returns the runners whose slots [owner] grants. */
    fun candidatesOf(owner: Int): List<Upstream> = if (hasDividedSlots) upstreams else listOf(upstreams[owner])

    /** Reports the [load] of every runner in each lane to all hosts and resets their counts of requests sent since. */
    fun updateReportedLoads(load: (runner: Int, lane: Lane) -> Int) {
        reportedLoads = engines.indices.map { runner -> Lane.entries.associateWith { load(runner, it) } }
        sentSinceReport.forEach { it.fill(0) }
    }

    /** The one-way network latency between [host] and [owner]. */
    fun latency(host: Int, owner: Int): Duration {
        val ownerIndex = if (hasDividedSlots) owner else ownerHost(owner)
        return when {
            ownerIndex == host -> Duration.ZERO
            centre(ownerIndex) == centre(host) -> WITHIN_CENTRE_LATENCY
            else -> deployment.betweenCentresLatency
        }
    }

    /** Chooses the owner from which the host of [inFlight] requests a slot. */
    fun chooseOwner(inFlight: InFlightRequest, request: DispatchRequest, randomDraw: Long): Int {
        if (hasDividedSlots) {
            return inFlight.host
        }
        val views = upstreams.indices.filterNot { it in inFlight.avoidedOwners }.map { runner ->
            val load = reportedLoads[runner].getValue(request.lane) + sentSinceReport[inFlight.host][runner]
            val waiting = (load - deployment.slots + 1).coerceAtLeast(0)
            val roundTrip = latency(inFlight.host, runner) * 2
            val extraLatency = if (roundTrip > WITHIN_CENTRE_LATENCY * 2) roundTrip else Duration.ZERO
            UpstreamView(
                upstreams[runner],
                load.toDouble(),
                TYPICAL_SLOT_HOLD * waiting / deployment.slots + extraLatency
            )
        }
        val chosen = indexOf(scenario.scheduling.choose(views, request, randomDraw).upstream.id)
        sentSinceReport[inFlight.host][chosen]++
        return chosen
    }

    private fun ownerHost(runner: Int): Int = runner % deployment.hosts

    private fun centre(index: Int) = deployment.centre(index)
}

private fun Deployment.centre(index: Int) = DataCentre("centre-${index % centres}")
