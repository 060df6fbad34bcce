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
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)

private fun upstream(name: String, slots: Int = 2, centre: String = "centre-a") = Upstream(
    UpstreamId(name),
    Address("127.0.0.1", 1),
    DataCentre(centre),
    UpstreamKind.ENGINE,
    slots,
    honoursFencing = false,
)

private fun request(
    candidates: List<Upstream>,
    team: String = "stado",
    lane: Lane = Lane.ONLINE,
    cost: Int = 10,
    weight: Int = 1,
) = DispatchRequest(candidates, TeamId(team), weight, lane, cost, null, start + 60.seconds)

/** Runs decisions in turn and keeps what they brought about. */
private class DispatchHarness(val policy: DispatchPolicy = DispatchPolicy()) {
    var state = emptyDispatch(DataCentre("centre-a"))
    var now = start
    val effects = mutableListOf<DispatchEffect>()
    private var last = 0L

    fun submit(request: DispatchRequest): Long = (++last).also { ticket ->
        step { admit(it, Arrival(ticket, request, ticket), policy, now) }
    }

    fun finish(ticket: Long, use: SlotOutcome = SlotOutcome.ANSWERED, cost: Int = 10) =
        step { release(it, Release(ticket, use, cost, ticket), policy, now) }

    fun cancel(ticket: Long) = step { cancelTicket(it, ticket, policy, now) }

    fun grants() = effects.filterIsInstance<DispatchEffect.Granted>().map { it.ticket }

    fun place(ticket: Long) =
        effects.filterIsInstance<DispatchEffect.Granted>().last { it.ticket == ticket }.upstream.id.value

    fun step(decide: (DispatchState) -> DispatchStep) {
        val step = decide(state)
        state = step.state
        effects += step.result
    }
}

class DispatchSpec : DescribeSpec({
    val one = listOf(upstream("engine-1"))
    val two = listOf(upstream("engine-1"), upstream("engine-2"))

    describe("the waiting work of one team") {
        it("goes in the order of its deadlines") {
            val harness = DispatchHarness()
            val engine = listOf(upstream("engine-1", 1))
            val running = harness.submit(request(engine, lane = Lane.BATCH))
            val later = harness.submit(request(engine, lane = Lane.BATCH).copy(deadline = start + 90.seconds))
            val sooner = harness.submit(request(engine, lane = Lane.BATCH).copy(deadline = start + 70.seconds))
            harness.finish(running)
            harness.finish(sooner)
            harness.grants() shouldBe listOf(running, sooner, later)
        }
    }

    describe("batch work that has begun") {
        val engine = listOf(upstream("engine-1", 1))

        it("goes before work that has not, of whatever team") {
            val harness = DispatchHarness()
            val running = harness.submit(request(engine, "kurni", Lane.BATCH))
            val new = harness.submit(request(engine, "stado", Lane.BATCH))
            val begun = harness.submit(request(engine, "kurni", Lane.BATCH).copy(slotTimeUsed = 2.seconds))
            harness.finish(running)
            harness.finish(begun)
            harness.grants() shouldBe listOf(running, begun, new)
        }

        it("is pushed out after work that held slots for a shorter time") {
            val harness = DispatchHarness()
            val places = listOf(upstream("engine-1", 2))
            val new = harness.submit(request(places, lane = Lane.BATCH))
            harness.now = start + 1.seconds
            harness.submit(request(places, lane = Lane.BATCH).copy(slotTimeUsed = 3.seconds))
            harness.submit(request(places))
            harness.effects.filterIsInstance<DispatchEffect.Revoked>().map { it.ticket } shouldBe listOf(new)
        }
    }

    describe("an upstream whose address another one has") {
        it("gets no more work at once, although it looks idle") {
            val harness = DispatchHarness(DispatchPolicy(choose = mostFreeSlotsChoice))
            val first = harness.submit(request(listOf(upstream("engine-1", 8), upstream("engine-2", 2))))
            harness.place(first) shouldBe "engine-1"
            harness.finish(first, SlotOutcome.GONE)
            harness.place(
                harness.submit(request(listOf(upstream("engine-1", 8), upstream("engine-2", 2))))
            ) shouldBe "engine-2"
        }
    }

    describe("work that will be late whatever is done") {
        it("goes after all work that may be in time, of whatever team") {
            val harness = DispatchHarness()
            val engine = listOf(upstream("engine-1", 1))
            val running = harness.submit(request(engine, "kurni", Lane.BATCH))
            val tardy = harness.submit(request(engine, "stado", Lane.BATCH).copy(isTardy = true))
            val inTime = harness.submit(request(engine, "kurni", Lane.BATCH))
            harness.finish(running)
            harness.finish(inTime)
            harness.grants() shouldBe listOf(running, inTime, tardy)
        }
    }

    describe("a slot that was given out by an owner before") {
        it("counts, and is free once it is given back") {
            val harness = DispatchHarness()
            val engine = upstream("engine-1", 1)
            harness.step { adoptSlot(it, 99, request(listOf(engine)), engine, start) }
            val waiting = harness.submit(request(listOf(engine)))
            harness.grants() shouldBe emptyList()
            harness.finish(99)
            harness.grants() shouldBe listOf(waiting)
        }
    }

    describe("online work before batch work") {
        it("pushes out the batch work that started last, and starts at once") {
            val harness = DispatchHarness()
            harness.submit(request(one, lane = Lane.BATCH))
            harness.now = start + 1.milliseconds
            harness.submit(request(one, lane = Lane.BATCH))
            val online = harness.submit(request(one))
            harness.effects.drop(2) shouldBe
                listOf(DispatchEffect.Revoked(2), DispatchEffect.Granted(online, one.first()))
        }

        it("leaves no batch work a slot while online work waits") {
            val harness = DispatchHarness()
            val running = List(2) { harness.submit(request(one)) }
            harness.submit(request(one, lane = Lane.BATCH))
            val waiting = harness.submit(request(one))
            harness.finish(running[0])
            harness.grants() shouldBe running + waiting
        }

        it("keeps a slot free once revoked holders are slow to leave") {
            val harness = DispatchHarness()
            repeat(2) {
                harness.submit(request(one, lane = Lane.BATCH))
                harness.submit(request(one, lane = Lane.BATCH))
                harness.submit(request(one))
                harness.now += 30.milliseconds
                harness.state.tickets.keys.forEach { harness.finish(it, SlotOutcome.ABANDONED) }
            }
            val batch = List(2) { harness.submit(request(one, lane = Lane.BATCH)) }
            harness.grants().takeLast(1) shouldBe batch.take(1)
        }

        it("keeps more slots free the more arrivals batch work delays, and fewer as time goes by") {
            val policy = HeadroomPolicy()
            val raised = Headroom(0.0, start).after(true, 8, policy, start).after(true, 8, policy, start)
            raised.slots shouldBe (0.95 plusOrMinus 1e-9)
            raised.wholeSlots(start, policy) shouldBe 1
            raised.wholeSlots(start + 5.seconds, policy) shouldBe 0
        }
    }

    describe("shares of teams") {
        it("serve weights in proportion, counted in tokens") {
            val harness = DispatchHarness(DispatchPolicy(onlineQueuePerSlot = 100))
            val first = List(2) { harness.submit(request(one, "first")) }
            val heavy = List(30) { harness.submit(request(one, "heavy", weight = 2, cost = 10)) }
            repeat(30) { harness.submit(request(one, "light", weight = 1, cost = 20)) }
            first.forEach { harness.finish(it) }
            repeat(18) {
                harness.finish(harness.grants()[2 + it], cost = if (harness.grants()[2 + it] in heavy) 10 else 20)
            }
            harness.grants().drop(2).count { it in heavy } shouldBe 16
        }

        it("charge what work really cost") {
            val corrected = initialShares.charge(TeamId("a"), 10, 2).correct(TeamId("a"), 30, 2)
            corrected.startTag(TeamId("a")) shouldBe 20.0
        }

        it("take a place in a full queue from the team with the most waiting") {
            val harness = DispatchHarness(DispatchPolicy(onlineQueuePerSlot = 2))
            val hot = List(6) { harness.submit(request(one, "hot")) }
            val small = harness.submit(request(one, "small"))
            val refused = harness.effects.filterIsInstance<DispatchEffect.Refused>().single()
            refused.ticket shouldBe hot.last()
            refused.refusal.shouldBeInstanceOf<Refusal.Overloaded>().retryAfter shouldBe 1250.milliseconds
            harness.finish(hot[0])
            harness.grants().last() shouldBe small
        }
    }

    describe("a hopeless request") {
        it("is refused at once, with the time until it would have hope") {
            val harness = DispatchHarness()
            repeat(4) { harness.submit(request(one)) }
            harness.submit(request(one).copy(deadline = start + 100.milliseconds))
            val refusal = Refusal.Overloaded("upstream 'engine-1'", 1650.milliseconds)
            harness.effects.last() shouldBe DispatchEffect.Refused(5, refusal)
        }
    }

    describe("the choice of an upstream") {
        it("stays in the data centre until waiting there costs more than the way to another") {
            val harness = DispatchHarness()
            val both = listOf(upstream("near", 1), upstream("far", 1, "centre-b"))
            harness.place(harness.submit(request(both))) shouldBe "near"
            harness.place(harness.submit(request(both))) shouldBe "far"
        }

        it("takes a free slot elsewhere before it pushes batch work out") {
            val harness = DispatchHarness(DispatchPolicy(choose = mostFreeSlotsChoice))
            val batch = harness.submit(request(listOf(upstream("engine-1", 1)), lane = Lane.BATCH))
            harness.place(batch) shouldBe "engine-1"
            val online = harness.submit(request(listOf(upstream("engine-1", 1), upstream("engine-2", 1))))
            harness.place(online) shouldBe "engine-2"
            harness.effects.none { it is DispatchEffect.Revoked } shouldBe true
        }

        it("sends a prefix to one place until that is loaded above its share") {
            val views = List(8) { UpstreamView(upstream("engine-$it", 8), 1.0, Duration.ZERO) }
            val turn = request(views.map { it.upstream }).copy(affinity = 42L)
            val preferred = prefixAffinityChoice(views, turn, 1)
            (1L..20L).map { prefixAffinityChoice(views, turn, it) }.toSet() shouldBe setOf(preferred)
            val hot = views.map { if (it == preferred) it.copy(load = 6.0) else it }
            preferred.upstream.id.value shouldNotBe "engine-5"
            prefixAffinityChoice(hot, turn, 1).upstream.id.value shouldBe "engine-5"
        }

        it("gives a freed slot to work that waits before another upstream") {
            val harness = DispatchHarness()
            val running = List(4) { harness.submit(request(two)) }
            val waiting = harness.submit(request(two))
            val queuedAt = harness.state.tickets.getValue(waiting).value
            harness.finish(running.first { harness.place(it) != queuedAt })
            harness.grants().last() shouldBe waiting
        }
    }

    describe("an idle upstream") {
        it("takes over what waits before another, when time passes") {
            val harness = DispatchHarness(DispatchPolicy(choose = { views, _, _ -> views.first() }))
            repeat(2) { harness.submit(request(two)) }
            val waiting = harness.submit(request(two))
            harness.step { tick(it, harness.policy, harness.now) }
            harness.place(waiting) shouldBe "engine-2"
        }
    }

    describe("a failing upstream") {
        it("is left after three failures in a row, its queue moved on, and tried again by one request alone") {
            val harness = DispatchHarness(DispatchPolicy(choose = { views, _, _ -> views.first() }))
            val bad = listOf(upstream("bad", 3))
            val running = List(3) { harness.submit(request(bad)) }
            val waiting = List(3) { harness.submit(request(bad + upstream("good", 1))) }
            running.forEach { harness.finish(it, SlotOutcome.FAILED, 0) }
            waiting.map { harness.place(it) } shouldBe listOf("bad", "bad", "good")
            waiting.take(2).forEach { harness.finish(it, SlotOutcome.FAILED, 0) }
            harness.now = start + 760.milliseconds
            val probe = harness.submit(request(bad))
            harness.grants().last() shouldBe probe
            val second = harness.submit(request(bad))
            harness.effects.last().shouldBeInstanceOf<DispatchEffect.Refused>().ticket shouldBe second
            harness.finish(probe)
            val third = harness.submit(request(bad))
            harness.grants().last() shouldBe third
        }

        it("is tried again after a pause that doubles") {
            val left = healthy.copy(failures = 2).after(SlotOutcome.FAILED, 0.0, start)
            left.pausedUntil shouldBe start + 500.milliseconds
            val again = left.after(SlotOutcome.FAILED, 0.0, start + 500.milliseconds)
            again.pausedUntil shouldBe start + 1500.milliseconds
        }

        it("can't be retried beyond a fifth of all requests") {
            var budget: RetryBudget? = RetryBudget(0.0)
            var retries = 0
            repeat(100) {
                budget = budget?.spend(0)
                budget?.spend(1)?.let {
                    budget = it
                    retries++
                }
            }
            retries shouldBeGreaterThan 18
            (retries <= 20) shouldBe true
        }
    }

    describe("a holder that leaves") {
        it("frees its slot or its place in the queue") {
            val harness = DispatchHarness()
            val running = List(2) { harness.submit(request(one)) }
            val waiting = List(2) { harness.submit(request(one)) }
            harness.cancel(waiting[0])
            harness.cancel(running[0])
            harness.grants() shouldBe running + waiting[1]
            harness.state.tickets.keys shouldBe setOf(running[1], waiting[1])
        }
    }
})
