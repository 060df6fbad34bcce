package figdeck.command.dispatch

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val evacuated = DataCentre("centre-a")
private val engineA = engine("engine-a", evacuated)
private val engineB = engine("engine-b", DataCentre("centre-b"))
private const val SEEDS = 20L

private fun engine(name: String, centre: DataCentre) =
    Upstream(UpstreamId(name), Address("127.0.0.1", 1), centre, UpstreamKind.ENGINE, 1, honoursFencing = false)

private fun request(lane: Lane, vararg candidates: Upstream) =
    DispatchRequest(candidates.toList(), TeamId("stado"), 1, lane, 10, null, start + 60.seconds)

/** The slots of two engines with one slot each, in two data centres. */
private class TwoCentres(private val seed: Long) {
    private val policy = DispatchPolicy()
    var state = emptyDispatch(evacuated)
    private var now = start
    private val effects = mutableListOf<DispatchEffect>()
    private var last = 0L

    fun submit(request: DispatchRequest): Long = (++last).also { ticket ->
        step { admit(it, Arrival(ticket, request, seed + ticket), policy, now) }
    }

    fun finish(ticket: Long) = step { release(it, Release(ticket, SlotOutcome.ANSWERED, 10, seed), policy, now) }

    fun evacuate() = step { withdrawUpstreams(it, { upstream -> upstream.dataCentre == evacuated }, seed, policy, now) }

    fun tick() {
        now += 50.milliseconds
        step { tick(it, policy, now) }
    }

    fun grantedAt(ticket: Long): UpstreamId? =
        effects.filterIsInstance<DispatchEffect.Granted>().lastOrNull { it.ticket == ticket }?.upstream?.id

    fun refusals(): Map<Long, Refusal> =
        effects.filterIsInstance<DispatchEffect.Refused>().associate { it.ticket to it.refusal }

    fun queuedAt(upstream: Upstream): List<Long> =
        state.upstreams[upstream.id]?.let { it.online.waiting + it.batch.waiting }.orEmpty().map { it.ticket }

    private fun step(decide: (DispatchState) -> DispatchStep) {
        val step = decide(state)
        state = step.state
        effects += step.result
    }
}

class EvacuationQueueSpec : DescribeSpec({
    Lane.entries.forEach { lane ->
        describe("$lane requests that wait at an upstream whose data centre is evacuated") {
            // Guards against requests that wait for a slot there until they are late, or get one.
            it("move to another upstream, and run there once it has a free slot") {
                (1..SEEDS).forEach { seed ->
                    val slots = TwoCentres(seed)
                    slots.submit(request(lane, engineA))
                    val other = slots.submit(request(lane, engineB))
                    val waiting = slots.submit(request(lane, engineA, engineB))
                    slots.evacuate()
                    slots.queuedAt(engineA).shouldBeEmpty()
                    slots.queuedAt(engineB) shouldContainExactly listOf(waiting)
                    slots.finish(other)
                    slots.grantedAt(waiting) shouldBe engineB.id
                    slots.refusals() shouldBe emptyMap()
                }
            }

            // Guards against a request that waits in vain although no upstream is left for it.
            it("are refused if they have no other upstream") {
                val slots = TwoCentres(1)
                val running = slots.submit(request(lane, engineA))
                val waiting = slots.submit(request(lane, engineA))
                slots.evacuate()
                slots.refusals() shouldBe mapOf(waiting to Refusal.Evacuated("this work"))
                slots.state.tickets.keys shouldBe setOf(running)
            }
        }

        describe("$lane requests that wait elsewhere") {
            // Guards against an evacuated upstream that takes over work of a queue as soon as it is idle.
            it("are not taken over by an upstream whose data centre is evacuated") {
                (1..SEEDS).forEach { seed ->
                    val slots = TwoCentres(seed)
                    val running = slots.submit(request(lane, engineA))
                    slots.submit(request(lane, engineB))
                    val waiting = slots.submit(request(lane, engineA, engineB))
                    slots.evacuate()
                    slots.finish(running)
                    slots.tick()
                    slots.grantedAt(waiting) shouldBe null
                    slots.queuedAt(engineB) shouldContainExactly listOf(waiting)
                }
            }
        }

        describe("$lane work that runs in the data centre") {
            // Guards against an evacuation that ends answers which are being written.
            it("keeps its slot until it ends") {
                val slots = TwoCentres(1)
                val running = slots.submit(request(lane, engineA))
                slots.evacuate()
                slots.refusals() shouldBe emptyMap()
                slots.state.upstreams.getValue(engineA.id).running.keys shouldBe setOf(running)
                slots.finish(running)
                slots.state.tickets.keys.shouldBeEmpty()
            }
        }
    }
})
