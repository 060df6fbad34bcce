package figdeck.daemon.command.serving

import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.PlacementChange
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.expectedCompletionChoice
import figdeck.command.dispatch.mostFreeSlotsChoice
import figdeck.command.serving.putMember
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.initialServingState
import figdeck.control.serving.updatePools
import figdeck.daemon.command.SlotDispatcher
import figdeck.log.DecisionLog
import figdeck.log.LineWriter
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.model.serving.SlotUsage
import figdeck.telemetry.Meters
import figdeck.wire.serving.SlotRelease
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("engines")
private val slow = UpstreamId("engine-1")
private val start = Moment(0, 0) + 60.seconds

/** The slot owner of one host that places by expected completion. */
private class PlacingHost : AutoCloseable {
    var now = start
    val meters = Meters()
    val changes = mutableListOf<PlacementChange>()
    private val output = ByteArrayOutputStream()
    private val log = DecisionLog("placement", LineWriter(PrintStream(output, true)))
    val lines get() = output.toString().lines()
    val control = Control<ServingState>(initialServingState(fleetMember("host")), { now })
    private val policy = DispatchPolicy(choose = mostFreeSlotsChoice, completionChoice = expectedCompletionChoice)
    private val slots = SlotDispatcher(
        ownSlots(control) {
            changes += it
            log.notePlacement(it, now)
        },
        policy,
        Random(1),
    )
    private val owner =
        SlotOwner(slots, control, { now }, completionPlacement(control, { now }, policy, meters)) { _, _ -> }
    private var lastTicket = 0L

    suspend fun add(id: String) {
        control.run { state, _ -> updatePools(state) { putMember(it, poolMember(pool, id)) } }
    }

    /** Runs one request, which takes twice as long per token at [slow], and returns its upstream. */
    suspend fun serve(excluded: Set<UpstreamId> = emptySet()): UpstreamId? {
        val request = SlotRequest(++lastTicket, HostId("host"), pool, null, Lane.ONLINE, 100, null, excluded, 1.seconds)
        val upstream = (owner.acquire(request) as? SlotResponse.Granted)?.upstream
        val streaming = if (upstream == slow) 2.seconds else 1.seconds
        now += streaming
        val usage = SlotUsage(100, 200.milliseconds, streaming, isWhole = true)
        owner.release(SlotRelease(request.ticket, SlotOutcome.ANSWERED, 100, usage = usage))
        return upstream
    }

    override fun close() = control.close()
}

class SlotPlacementSpec : DescribeSpec({
    describe("the owner of slots with placement by expected completion") {
        it("learns the pace from releases, logs and counts a slow upstream, and gives it no more online work") {
            PlacingHost().use { host ->
                val ids = (0..3).map { UpstreamId("engine-$it") }
                ids.forEach { host.add(it.value) }
                repeat(20) { ids.forEach { id -> host.serve(excluded = ids.toSet() - id) } }
                val placed = List(6) { host.serve() }
                placed.count { it == slow } shouldBe 0
                host.changes.filterIsInstance<PlacementChange.Upstream>().map { it.id to it.isSlow } shouldBe
                    listOf(slow to true)
                eventually(5.seconds) {
                    host.lines.count { "\"placed_by_completion\"" in it } shouldBe 1
                    host.lines.single { "\"event\":\"slow\"" in it } shouldContain "\"pace_percent\":200"
                }
                host.meters.scrape() shouldContain "figdeck_placement_slow_upstreams 1.0"
                host.meters.scrape() shouldContain "figdeck_placement_slot_time_seconds_count{kind=\"seen\"}"
            }
        }
    }
})
