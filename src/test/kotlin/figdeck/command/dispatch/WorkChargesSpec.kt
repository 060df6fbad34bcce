package figdeck.command.dispatch

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.ExpectedWork
import figdeck.model.serving.SlotUsage
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val team = TeamId("stado")

private fun engine(slots: Int) = Upstream(
    UpstreamId("engine-1"),
    Address("127.0.0.1", 1),
    DataCentre("centre-a"),
    UpstreamKind.ENGINE,
    slots,
    honoursFencing = false,
)

private fun request(expected: ExpectedWork?, slots: Int = 1, lane: Lane = Lane.ONLINE, name: TeamId = team) =
    DispatchRequest(listOf(engine(slots)), name, 1, lane, 850, null, start + 600.seconds, expected = expected)

private fun usage(tokens: Int) = SlotUsage(tokens, 100.milliseconds, 1.seconds, isWhole = true)

/** Admits requests and releases their slots in sequence. */
private class Slots {
    var state = emptyDispatch(DataCentre("centre-a"))
    val effects = mutableListOf<DispatchEffect>()
    private var last = 0L

    fun submit(request: DispatchRequest, after: Duration = Duration.ZERO): Long = (++last).also { ticket ->
        step(admit(state, Arrival(ticket, request, ticket), DispatchPolicy(), start + after))
    }

    fun finish(ticket: Long, cost: Int = 850, usage: SlotUsage? = null, after: Duration = Duration.ZERO) =
        step(
            release(state, Release(ticket, SlotOutcome.ANSWERED, cost, ticket, usage), DispatchPolicy(), start + after)
        )

    /** The tokens that [name] is ahead of a team that has sent nothing. */
    fun charged(name: TeamId = team): Double =
        state.upstreams.getValue(UpstreamId("engine-1")).online.shares.finishTags[name] ?: 0.0

    fun granted() = effects.filterIsInstance<DispatchEffect.Granted>().map { it.ticket }

    fun revoked() = effects.filterIsInstance<DispatchEffect.Revoked>().map { it.ticket }

    private fun step(step: DispatchStep) {
        state = step.state
        effects += step.result
    }
}

class WorkChargesSpec : DescribeSpec({
    describe("the charge of a request") {
        // Guards against teams with short outputs that pay for maxima which they never use.
        it("is its expected work, corrected by what was seen") {
            val slots = Slots()
            val ticket = slots.submit(request(ExpectedWork(450, 90, 180)))
            slots.charged() shouldBe 540.0
            slots.finish(ticket, usage = usage(240))
            slots.charged() shouldBe 690.0
        }

        // Guards against a team that pays less by a false hint: the correction takes the gain back.
        it("is the same after the release, whatever was expected") {
            val charges = listOf(ExpectedWork(450, 1, 1), ExpectedWork(450, 240, 300), ExpectedWork(450, 400, 400))
                .map { expected ->
                    Slots().run {
                        finish(submit(request(expected)), usage = usage(240))
                        charged()
                    }
                }
            charges shouldBe List(3) { 690.0 }
        }

        it("stays if nothing was seen, and is taken back if the slot was not used") {
            Slots().run {
                finish(submit(request(ExpectedWork(450, 90, 180))))
                charged() shouldBe 540.0
            }
            Slots().run {
                finish(submit(request(ExpectedWork(450, 90, 180))), cost = 0)
                charged() shouldBe 0.0
            }
        }

        // Guards against a deployment that didn't ask for estimates and gets other shares.
        it("is its cost without an expectation, even if its usage is known") {
            val slots = Slots()
            val ticket = slots.submit(request(expected = null))
            slots.charged() shouldBe 850.0
            slots.finish(ticket, cost = 600, usage = usage(240))
            slots.charged() shouldBe 600.0
        }

        it("gives a team with shorter outputs more requests of a contended upstream") {
            val slots = Slots()
            val short = TeamId("short")
            val long = TeamId("long")
            val shortTickets = mutableListOf<Long>()
            slots.submit(request(ExpectedWork(100, 100, 100)))
            // At most eight requests may wait for the slot.
            repeat(2) { slots.submit(request(ExpectedWork(50, 950, 950), name = long)) }
            repeat(5) { shortTickets += slots.submit(request(ExpectedWork(50, 150, 150), name = short)) }
            repeat(6) { slots.finish(slots.granted().last()) }
            slots.granted().drop(1).take(6).count { it in shortTickets } shouldBe 5
        }
    }

    describe("batch work whose slot online work needs") {
        fun batch(output: Int?) =
            request(output?.let { ExpectedWork(450, it, it) }, slots = 2, lane = Lane.BATCH)

        // Guards against a long item that keeps its slot while one that would be done soon loses its own.
        it("is the one with the most expected work left") {
            val slots = Slots()
            val long = slots.submit(batch(800))
            slots.submit(batch(200), after = 20.milliseconds)
            slots.submit(request(ExpectedWork(450, 90, 180), slots = 2), after = 40.milliseconds)
            slots.revoked() shouldBe listOf(long)
        }

        it("is the one that started last if all are expected to take the same time") {
            val slots = Slots()
            slots.submit(batch(200))
            val last = slots.submit(batch(200), after = 20.milliseconds)
            slots.submit(request(ExpectedWork(450, 90, 180), slots = 2), after = 40.milliseconds)
            slots.revoked() shouldBe listOf(last)
        }

        it("is not the long one if that has nearly run to its end") {
            val slots = Slots()
            slots.submit(batch(800))
            val short = slots.submit(batch(200), after = 780.milliseconds)
            slots.submit(request(ExpectedWork(450, 90, 180), slots = 2), after = 800.milliseconds)
            slots.revoked() shouldBe listOf(short)
        }

        it("is chosen as before if the work of one is not known") {
            val slots = Slots()
            slots.submit(batch(800))
            val last = slots.submit(batch(null), after = 20.milliseconds)
            slots.submit(request(ExpectedWork(450, 90, 180), slots = 2), after = 40.milliseconds)
            slots.revoked() shouldBe listOf(last)
        }
    }
})
