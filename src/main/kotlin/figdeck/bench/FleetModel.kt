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

private val WITHIN_CENTRE = 100.microseconds
private val USUAL_HOLD = 2.seconds
private val NOWHERE = Address("127.0.0.1", 1)

/** The runners of a deployment, who owns their slots, and what each host has heard of their load. */
internal class FleetModel(private val scenario: Scenario) {
    private val deployment = scenario.deployment
    private val divided = scenario.scheduling.dividedSlots
    val engines = List(deployment.runners) { EngineModel(EngineSpeed(deployment.slots)) }
    val lost = BooleanArray(deployment.runners)
    private var reported = List(deployment.runners) { Lane.entries.associateWith { 0 } }
    private val sentSince = Array(deployment.hosts) { IntArray(deployment.runners) }
    private val slotsEach =
        if (divided) (deployment.slots / deployment.hosts).coerceAtLeast(1) else deployment.slots

    val owners: Int = if (divided) deployment.hosts else deployment.runners
    val slots: Int = deployment.slots * deployment.runners
    val upstreams: List<Upstream> = List(deployment.runners) {
        val kind = UpstreamKind.ENGINE
        Upstream(UpstreamId("runner-$it"), NOWHERE, centre(it), kind, slotsEach, honoursFencing = false)
    }

    fun index(id: UpstreamId): Int = upstreams.indexOfFirst { it.id == id }

    fun lose(runner: Int): List<Long> {
        lost[runner] = true
        return engines[runner].lose()
    }

    fun restore(runner: Int) {
        lost[runner] = false
    }

    fun centreOfOwner(owner: Int): DataCentre = if (divided) centre(owner) else centre(ownerHost(owner))

    /** The runners whose slots [owner] gives out. */
    fun candidatesOf(owner: Int): List<Upstream> = if (divided) upstreams else listOf(upstreams[owner])

    /** Hears of the [load] of every runner for each lane. */
    fun report(load: (runner: Int, lane: Lane) -> Int) {
        reported = engines.indices.map { runner -> Lane.entries.associateWith { load(runner, it) } }
        sentSince.forEach { it.fill(0) }
    }

    /** The time that a message takes from [host] to [owner] or back. */
    fun hop(host: Int, owner: Int): Duration {
        val other = if (divided) owner else ownerHost(owner)
        return when {
            other == host -> Duration.ZERO
            centre(other) == centre(host) -> WITHIN_CENTRE
            else -> deployment.betweenCentres
        }
    }

    /** The owner that the flight's host asks for a slot. */
    fun choose(flight: Flight, request: DispatchRequest, draw: Long): Int {
        if (divided) {
            return flight.host
        }
        val views = upstreams.indices.filterNot { it in flight.avoided }.map { runner ->
            val load = reported[runner].getValue(request.lane) + sentSince[flight.host][runner]
            val waiting = (load - deployment.slots + 1).coerceAtLeast(0)
            val away = hop(flight.host, runner) * 2
            val far = if (away > WITHIN_CENTRE * 2) away else Duration.ZERO
            UpstreamView(upstreams[runner], load.toDouble(), USUAL_HOLD * waiting / deployment.slots + far)
        }
        val chosen = index(scenario.scheduling.choose(views, request, draw).upstream.id)
        sentSince[flight.host][chosen]++
        return chosen
    }

    private fun ownerHost(runner: Int): Int = runner % deployment.hosts

    private fun centre(index: Int) = deployment.centre(index)
}

private fun Deployment.centre(index: Int) = DataCentre("centre-${index % centres}")
