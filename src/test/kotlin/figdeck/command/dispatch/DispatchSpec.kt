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

/** Applies decisions in sequence and collects their effects. */
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

    describe("queued work of one team") {
        it("is served by earliest deadline") {
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

    describe("batch work that has held a slot before") {
        val engine = listOf(upstream("engine-1", 1))

        it("is served before work that has not, regardless of team") {
            val harness = DispatchHarness()
            val running = harness.submit(request(engine, "kurni", Lane.BATCH))
            val new = harness.submit(request(engine, "stado", Lane.BATCH))
            val begun = harness.submit(request(engine, "kurni", Lane.BATCH).copy(slotTimeUsed = 2.seconds))
            harness.finish(running)
            harness.finish(begun)
            harness.grants() shouldBe listOf(running, begun, new)
        }

        it("is revoked after work that has held slots for a shorter time") {
            val harness = DispatchHarness()
            val places = listOf(upstream("engine-1", 2))
            val new = harness.submit(request(places, lane = Lane.BATCH))
            harness.now = start + 1.seconds
            harness.submit(request(places, lane = Lane.BATCH).copy(slotTimeUsed = 3.seconds))
            harness.submit(request(places))
            harness.effects.filterIsInstance<DispatchEffect.Revoked>().map { it.ticket } shouldBe listOf(new)
        }
    }

    describe("an upstream whose address now belongs to another one") {
        it("is paused immediately, although it looks idle") {
            val harness = DispatchHarness(DispatchPolicy(choose = mostFreeSlotsChoice))
            val first = harness.submit(request(listOf(upstream("engine-1", 8), upstream("engine-2", 2))))
            harness.place(first) shouldBe "engine-1"
            harness.finish(first, SlotOutcome.GONE)
            harness.place(
                harness.submit(request(listOf(upstream("engine-1", 8), upstream("engine-2", 2))))
            ) shouldBe "engine-2"
        }
    }

    describe("work that can no longer meet its deadline") {
        it("is served after all work that still can, regardless of team") {
            val harness = DispatchHarness()
            val engine = listOf(upstream("engine-1", 1))
            val running = harness.submit(request(engine, "kurni", Lane.BATCH))
            val tardy = harness.submit(request(engine, "stado", Lane.BATCH).copy(willMissDeadline = true))
            val inTime = harness.submit(request(engine, "kurni", Lane.BATCH))
            harness.finish(running)
            harness.finish(inTime)
            harness.grants() shouldBe listOf(running, inTime, tardy)
        }
    }

    describe("a slot that a previous owner granted") {
        it("counts as held until it is released") {
            val harness = DispatchHarness()
            val engine = upstream("engine-1", 1)
            harness.step { adoptSlot(it, 99, request(listOf(engine)), engine, start) }
            val waiting = harness.submit(request(listOf(engine)))
            harness.grants() shouldBe emptyList()
            harness.finish(99)
            harness.grants() shouldBe listOf(waiting)
        }
    }

    describe("the priority of online work over batch work") {
        it("revokes the batch work that started last and grants its slot immediately") {
            val harness = DispatchHarness()
            harness.submit(request(one, lane = Lane.BATCH))
            harness.now = start + 1.milliseconds
            harness.submit(request(one, lane = Lane.BATCH))
            val online = harness.submit(request(one))
            harness.effects.drop(2) shouldBe
                listOf(DispatchEffect.Revoked(2), DispatchEffect.Granted(online, one.first()))
        }

        it("grants batch work no slot while online work waits") {
            val harness = DispatchHarness()
            val running = List(2) { harness.submit(request(one)) }
            harness.submit(request(one, lane = Lane.BATCH))
            val waiting = harness.submit(request(one))
            harness.finish(running[0])
            harness.grants() shouldBe running + waiting
        }

        it("keeps a slot free after revoked holders were slow to release") {
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

        it("raises the headroom with each delayed arrival and lets it decay over time") {
            val policy = HeadroomPolicy()
            val raised = Headroom(0.0, start).after(true, 8, policy, start).after(true, 8, policy, start)
            raised.slots shouldBe (0.95 plusOrMinus 1e-9)
            raised.wholeSlots(start, policy) shouldBe 1
            raised.wholeSlots(start + 5.seconds, policy) shouldBe 0
        }
    }

    describe("fair sharing between teams") {
        it("serves teams in proportion to their weights, counted in tokens") {
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

        it("charges the actual cost of work") {
            val corrected = initialShares.charge(TeamId("a"), 10, 2).correct(TeamId("a"), 30, 2)
            corrected.startTag(TeamId("a")) shouldBe 20.0
        }

        it("refuses the newest request of the team with the longest queue when the queue is full") {
            val harness = DispatchHarness(DispatchPolicy(onlineQueuePerSlot = 2))
            val hot = List(6) { harness.submit(request(one, "hot")) }
            val small = harness.submit(request(one, "small"))
            val refused = harness.effects.filterIsInstance<DispatchEffect.Refused>().single()
            refused.ticket shouldBe hot.last()
            refused.refusal.shouldBeInstanceOf<Refusal.Overloaded>().retryAfter shouldBe 1250.milliseconds
            refused.cause shouldBe SlotRefusal(RefusalReason.QUEUE_FULL, Lane.ONLINE, TeamId("hot"))
            harness.finish(hot[0])
            harness.grants().last() shouldBe small
        }
    }

    describe("a request that can't start before its deadline") {
        it("is refused immediately, with the time by which it would be late") {
            val harness = DispatchHarness()
            repeat(4) { harness.submit(request(one)) }
            harness.submit(request(one).copy(deadline = start + 100.milliseconds))
            val refusal = Refusal.Overloaded("upstream 'engine-1'", 1650.milliseconds)
            val cause = SlotRefusal(RefusalReason.LATE_IN_QUEUE, Lane.ONLINE, TeamId("stado"))
            harness.effects.last() shouldBe DispatchEffect.Refused(5, refusal, cause)
        }
    }

    describe("the choice of an upstream") {
        it("stays in the data centre until the wait there exceeds the round trip to another") {
            val harness = DispatchHarness()
            val both = listOf(upstream("near", 1), upstream("far", 1, "centre-b"))
            harness.place(harness.submit(request(both))) shouldBe "near"
            harness.place(harness.submit(request(both))) shouldBe "far"
        }

        it("takes a free slot at another upstream instead of revoking batch work") {
            val harness = DispatchHarness(DispatchPolicy(choose = mostFreeSlotsChoice))
            val batch = harness.submit(request(listOf(upstream("engine-1", 1)), lane = Lane.BATCH))
            harness.place(batch) shouldBe "engine-1"
            val online = harness.submit(request(listOf(upstream("engine-1", 1), upstream("engine-2", 1))))
            harness.place(online) shouldBe "engine-2"
            harness.effects.none { it is DispatchEffect.Revoked } shouldBe true
        }

        it("sends a prefix to one upstream until its load exceeds the bound") {
            val views = List(8) { UpstreamView(upstream("engine-$it", 8), 1.0, Duration.ZERO) }
            val turn = request(views.map { it.upstream }).copy(affinity = 42L)
            val preferred = prefixAffinityChoice(views, turn, 1)
            (1L..20L).map { prefixAffinityChoice(views, turn, it) }.toSet() shouldBe setOf(preferred)
            val hot = views.map { if (it == preferred) it.copy(load = 6.0) else it }
            preferred.upstream.id.value shouldNotBe "engine-5"
            prefixAffinityChoice(hot, turn, 1).upstream.id.value shouldBe "engine-5"
        }

        it("assigns a freed slot to work queued at another upstream") {
            val harness = DispatchHarness()
            val running = List(4) { harness.submit(request(two)) }
            val waiting = harness.submit(request(two))
            val queuedAt = harness.state.tickets.getValue(waiting).value
            harness.finish(running.first { harness.place(it) != queuedAt })
            harness.grants().last() shouldBe waiting
        }
    }

    describe("an idle upstream") {
        it("steals work queued at another upstream on a tick") {
            val harness = DispatchHarness(DispatchPolicy(choose = { views, _, _ -> views.first() }))
            repeat(2) { harness.submit(request(two)) }
            val waiting = harness.submit(request(two))
            harness.step { tick(it, harness.policy, harness.now) }
            harness.place(waiting) shouldBe "engine-2"
        }
    }

    describe("a failing upstream") {
        it("is paused after three consecutive failures, moves its queue, and is probed by a single request") {
            val harness = DispatchHarness(DispatchPolicy(choose = { views, _, _ -> views.first() }))
            val bad = listOf(upstream("bad", 3))
            val running = List(3) { harness.submit(request(bad)) }
            val waiting = List(3) { harness.submit(request(bad + upstream("good", 1))) }
            running.forEach { harness.finish(it, SlotOutcome.FAILED, 0) }
            waiting.map { harness.place(it) } shouldBe listOf("bad", "bad", "good")
            waiting.take(2).forEach { harness.finish(it, SlotOutcome.FAILED, 0) }
            harness.now = start + 760.milliseconds
            val probe = harness.submit(request(bad))
            harness.effects.last() shouldBe DispatchEffect.Granted(probe, bad.first(), answerWithin = 1.seconds)
            val second = harness.submit(request(bad))
            harness.effects.last().shouldBeInstanceOf<DispatchEffect.Refused>().ticket shouldBe second
            harness.finish(probe)
            val third = harness.submit(request(bad))
            harness.effects.last() shouldBe DispatchEffect.Granted(third, bad.first(), answerWithin = null)
        }

        it("is probed after a pause that doubles") {
            val left = healthy.copy(failures = 2).after(SlotOutcome.FAILED, 0.0, start)
            left.pausedUntil shouldBe start + 500.milliseconds
            val again = left.after(SlotOutcome.FAILED, 0.0, start + 500.milliseconds)
            again.pausedUntil shouldBe start + 1500.milliseconds
            listOf(left, again, healthy).map { it.probeTimeout } shouldBe listOf(1.seconds, 2.seconds, null)
        }

        it("gets retries for at most a fifth of all requests") {
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

    describe("a cancelled ticket") {
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
