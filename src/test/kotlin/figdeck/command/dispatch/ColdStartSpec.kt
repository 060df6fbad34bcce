package figdeck.command.dispatch

import figdeck.command.serving.COLD_END_MARGIN
import figdeck.command.serving.ColdSource
import figdeck.command.serving.PoolMembers
import figdeck.command.serving.adoptUnconfirmed
import figdeck.command.serving.announceLeaving
import figdeck.command.serving.emptyPoolMembers
import figdeck.command.serving.ownColdTimeLeft
import figdeck.command.serving.putMember
import figdeck.command.serving.recordCold
import figdeck.command.serving.removeImmediately
import figdeck.command.serving.replaceMembers
import figdeck.command.serving.until
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.ColdStartPolicy
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val policy = ColdStartPolicy(3.seconds, 23.0)
private val edgePolicy = DispatchPolicy(choose = mostFreeSlotsChoice, deadlineMargin = 0.0)

private fun upstream(name: String, slots: Int = 8) =
    Upstream(UpstreamId(name), Address("127.0.0.1", 1), DataCentre("centre-a"), UpstreamKind.SERVICE, slots, false)

private fun member(remaining: Duration? = null, startedAt: Long = 1, hash: Long? = null) =
    PoolMember(upstream("i-1").copy(startedAtMillis = startedAt), PoolName("p"), isLeaving = false, remaining, hash)

private val id = UpstreamId("i-1")

/** When the stated period ends. The limit ends a margin later. */
private fun PoolMembers.coldUntil(): Moment? = cold[id]?.until(policy)?.let { it + -COLD_END_MARGIN }

private fun limit(until: Duration = 3.seconds, rate: Double = 17.25) = ColdLimit(start + until, rate)

/** One host that grants slots, with decisions at [now]. */
private class ColdHarness {
    var state = emptyDispatch(DataCentre("centre-a"))
    var now = start
    val effects = mutableListOf<DispatchEffect>()
    private var last = 0L

    fun submit(
        candidates: List<Upstream>,
        limits: Map<UpstreamId, ColdLimit>,
        maxWait: Duration = 200.milliseconds,
        lane: Lane = Lane.ONLINE,
    ): Long {
        val request = DispatchRequest(candidates, TeamId("stado"), 1, lane, 1, null, now + maxWait, coldLimits = limits)
        val ticket = ++last
        step { admit(it, Arrival(ticket, request, ticket), edgePolicy, now) }
        return ticket
    }

    fun tickUntil(end: Duration) {
        while (now < start + end) {
            now += 50.milliseconds
            step { tick(it, edgePolicy, now) }
        }
    }

    fun finish(ticket: Long) =
        step { release(it, Release(ticket, SlotOutcome.ANSWERED, 1, ticket), edgePolicy, now) }

    fun finishOlderThan(age: Duration) = state.upstreams.values
        .flatMap { it.running.values }
        .filter { now - it.since > age }
        .forEach { finish(it.ticket) }

    fun grants() = effects.filterIsInstance<DispatchEffect.Granted>()

    fun granted() = grants().map { it.ticket }

    fun refusal(ticket: Long) = effects.filterIsInstance<DispatchEffect.Refused>().find { it.ticket == ticket }?.refusal

    fun step(decide: (DispatchState) -> DispatchStep) {
        val step = decide(state)
        state = step.state
        effects += step.result
    }
}

class ColdStartSpec : DescribeSpec({
    describe("an entry") {
        // Guards against a crash of an upstream that starts under traffic.
        it("that says a remaining time makes its upstream cold for that time") {
            putMember(emptyPoolMembers, member(2.seconds), start).coldUntil() shouldBe start + 2.seconds
            putMember(emptyPoolMembers, member(Duration.ZERO), start).coldUntil().shouldBeNull()
        }

        // Guards against an upstream that stays cold as long as hosts read the table again.
        it("that is read again unchanged does not restart the period") {
            val cold = replaceMembers(emptyPoolMembers, listOf(member(2.seconds, hash = 7)), start)
            val later = start + 1.seconds
            putMember(cold, member(2.seconds, hash = 7), later).coldUntil() shouldBe start + 2.seconds
            replaceMembers(cold, listOf(member(2.seconds, hash = 7)), later).coldUntil() shouldBe start + 2.seconds
            announceLeaving(cold, member(2.seconds).start, later).coldUntil() shouldBe start + 2.seconds
            replaceMembers(cold, listOf(member(2.seconds, hash = 7)), start + 9.seconds).coldUntil().shouldBeNull()
        }

        it("that newly says a remaining time starts a period at any moment, also the same time as before") {
            val warm = putMember(emptyPoolMembers, member(Duration.ZERO, hash = 1), start)
            val later = start + 60.seconds
            val again = putMember(warm, member(3.seconds, hash = 2), later)
            again.coldUntil() shouldBe later + 3.seconds
            putMember(again, member(3.seconds, hash = 3), later + 2.seconds).coldUntil() shouldBe later + 5.seconds
        }

        it("that says a shorter time ends the period sooner") {
            val cold = putMember(emptyPoolMembers, member(3.seconds), start)
            putMember(cold, member(Duration.ZERO), start + 1.seconds).coldUntil().shouldBeNull()
        }

        // Guards against an upstream at full load because its entry was lost or is of an older kind.
        it("without the field makes an upstream cold for the pool's duration only if it was not known before") {
            val new = putMember(emptyPoolMembers, member(), start)
            new.coldUntil() shouldBe start + 3.seconds
            putMember(new, member(hash = 2), start + 2.seconds).coldUntil() shouldBe start + 3.seconds
            val later = start + 9.seconds
            val warm = replaceMembers(new, listOf(member()), later)
            putMember(warm, member(hash = 3), later).coldUntil() shouldBe start + 3.seconds
            putMember(warm, member(startedAt = 2), later).coldUntil() shouldBe later + 3.seconds
            putMember(removeImmediately(warm, id), member(), later).coldUntil() shouldBe later + 3.seconds
        }

        it("that another host has read counts from now") {
            adoptUnconfirmed(emptyPoolMembers, listOf(member(2.seconds)), start).coldUntil() shouldBe start + 2.seconds
        }
    }

    describe("an answer that says how long its upstream stays cold") {
        val first = member().start
        val warm = putMember(emptyPoolMembers, member(Duration.ZERO), start)

        it("makes a known upstream cold and an unknown one not") {
            recordCold(warm, first, 900.milliseconds, ColdSource.REPLY, start).coldUntil() shouldBe
                start + 900.milliseconds
            recordCold(emptyPoolMembers, first, 1.seconds, ColdSource.REPLY, start) shouldBe emptyPoolMembers
        }

        // Guards against a limit on a later start for what an earlier one has said.
        it("tells nothing of another start of its upstream") {
            val startedAgain = putMember(warm, member(Duration.ZERO, startedAt = 2), start)
            recordCold(startedAgain, first, 1.seconds, ColdSource.REPLY, start) shouldBe startedAgain
            val cold = putMember(warm, member(3.seconds, startedAt = 2), start)
            cold.ownColdTimeLeft(first, start).shouldBeNull()
        }

        // Guards against an answer from before the cold start that arrives after the entry which tells of it.
        it("shortens a period that an entry has stated by nothing, and is outlasted by no older entry") {
            val cold = putMember(emptyPoolMembers, member(3.seconds), start)
            recordCold(cold, first, Duration.ZERO, ColdSource.REPLY, start).coldUntil() shouldBe start + 3.seconds
            val told = recordCold(warm, first, 2.seconds, ColdSource.REPLY, start)
            putMember(told, member(Duration.ZERO, hash = 5), start).coldUntil() shouldBe start + 2.seconds
        }

        it("replaces an assumed period") {
            val assumed = putMember(emptyPoolMembers, member(), start)
            recordCold(assumed, first, 500.milliseconds, ColdSource.REPLY, start).coldUntil() shouldBe
                start + 500.milliseconds
            recordCold(assumed, first, Duration.ZERO, ColdSource.REPLY, start).coldUntil().shouldBeNull()
        }

        // Guards against a period that two hosts extend without end by telling each other of it.
        it("is passed on by the host that saw it, and not by the host that was told") {
            val seen = recordCold(warm, first, 1.seconds, ColdSource.REPLY, start)
            seen.ownColdTimeLeft(first, start + 400.milliseconds) shouldBe 600.milliseconds
            val told = recordCold(warm, first, 1.seconds, ColdSource.RELEASE, start)
            told.ownColdTimeLeft(first, start).shouldBeNull()
        }

        // Guards against an upstream that a wrong header would limit for good.
        it("limits its upstream for ten minutes at most") {
            recordCold(warm, first, Duration.INFINITE, ColdSource.REPLY, start).coldUntil() shouldBe start + 600.seconds
        }
    }

    describe("the bucket of a cold upstream") {
        it("starts empty, fills at its rate and holds a quarter of a second's tokens") {
            val bucket = (null as ColdBucket?).limitedBy(
                mainColdLimit(policy, start + 3.seconds),
                start
            ).shouldNotBeNull()
            bucket.limit.requestsPerSecond shouldBe 17.25
            bucket.wholeTokens(start) shouldBe 0
            bucket.wholeTokens(start + 58.milliseconds) shouldBe 1
            bucket.wholeTokens(start + 2.seconds) shouldBe 4
            bucket.timeToTokens(1, start).inWholeMilliseconds shouldBe 57
        }

        it("holds one token of a slow rate, and its first one comes at a moment of its host's own") {
            val hosts = (1..40).map { HostId("host-$it") }
            val limits = hosts.map { ownColdLimit(policy, start + 3.seconds, hosts.size, it, id) }
            limits.sumOf { it.requestsPerSecond } shouldBe (5.75 plusOrMinus 1e-9)
            val buckets = limits.map { (null as ColdBucket?).limitedBy(it, start).shouldNotBeNull() }
            buckets.sumOf { it.wholeTokens(start) } shouldBe 0
            // All 40 tokens come within 7 s, so 1 s sees some 6 of them.
            (1..6).forEach { second ->
                val now = start + second.seconds
                buckets.sumOf { it.wholeTokens(now) - it.wholeTokens(now + (-1).seconds) } shouldBeInRange 1..13
            }
            buckets.maxOf { it.wholeTokens(start + 60.seconds) } shouldBe 1
        }

        it("starts empty again in a new period, and outlives a request that knows of none") {
            val bucket = (null as ColdBucket?).limitedBy(limit(), start).shouldNotBeNull()
            bucket.limitedBy(null, start + 1.seconds).shouldNotBeNull().wholeTokens(start + 1.seconds) shouldBe 4
            val later = start + 10.seconds
            bucket.limitedBy(null, later).shouldBeNull()
            bucket.limitedBy(limit(until = 13.seconds), later).shouldNotBeNull().wholeTokens(later) shouldBe 0
        }

        it("loses what a lower rate can't hold") {
            val bucket = (null as ColdBucket?).limitedBy(limit(), start).shouldNotBeNull()
            val now = start + 1.seconds
            bucket.limitedBy(limit(rate = 0.5), now).shouldNotBeNull().wholeTokens(now) shouldBe 1
        }
    }

    describe("requests for a cold upstream") {
        val one = listOf(upstream("i-1"))
        val cold = mapOf(id to limit())

        it("get slots at the pace of the tokens, on ticks") {
            val harness = ColdHarness()
            repeat(12) { harness.submit(one, cold, 1.seconds) }
            harness.grants().shouldBeEmpty()
            harness.tickUntil(300.milliseconds)
            harness.grants().size shouldBe 5
            harness.state.heldBack shouldBe 12
        }

        // Guards against queued requests that the limit doesn't reach because they came before the cold start.
        it("wait for tokens although they were queued before it became cold") {
            val harness = ColdHarness()
            val tickets = List(16) { harness.submit(one, emptyMap(), 2.seconds) }
            harness.granted() shouldContainExactly tickets.take(8)
            harness.state = limitCold(harness.state, cold, harness.now)
            tickets.take(8).forEach { harness.finish(it) }
            harness.granted() shouldContainExactly tickets.take(8)
            harness.tickUntil(100.milliseconds)
            harness.granted().size shouldBe 9
        }

        it("get all slots again when the period ends") {
            val harness = ColdHarness()
            repeat(70) { harness.submit(one, mapOf(id to limit(until = 100.milliseconds)), 1.seconds) }
            harness.tickUntil(150.milliseconds)
            harness.grants().size shouldBe 8
        }

        // Guards against refusals that send callers back too early, so that they are refused again.
        it("are refused at once if no token comes in time, and find one when they return as told") {
            val harness = ColdHarness()
            val tickets = List(10) { harness.submit(one, cold, 200.milliseconds) }
            val refused = tickets.filter { harness.refusal(it) != null }
            refused.size shouldBe 7
            val waits = refused.map { (harness.refusal(it) as Refusal.Overloaded).retryAfter!! }
            waits shouldBe waits.sorted()
            val due = waits.map { start + it }.toMutableList()
            val returns = mutableListOf<Long>()
            while (harness.now < start + 2.seconds) {
                harness.now += 10.milliseconds
                due.filter { it <= harness.now }.forEach { time ->
                    due.remove(time)
                    returns += harness.submit(one, cold, 200.milliseconds)
                }
                harness.step { tick(it, edgePolicy, harness.now) }
                harness.finishOlderThan(50.milliseconds)
            }
            harness.granted().toSet() shouldBe (tickets - refused.toSet() + returns).toSet()
        }

        it("go to a warm upstream with free slots") {
            val harness = ColdHarness()
            val both = one + upstream("i-2")
            repeat(8) { harness.submit(both, cold) }
            harness.grants().map { it.upstream.id.value }.toSet() shouldBe setOf("i-2")
        }

        // Guards against revoking batch work for a slot that the limit then withholds.
        it("revoke no batch work without a token, and do with one") {
            val harness = ColdHarness()
            repeat(8) { harness.submit(one, emptyMap(), 60.seconds, Lane.BATCH) }
            harness.submit(one, cold, 1.seconds)
            harness.effects.filterIsInstance<DispatchEffect.Revoked>().shouldBeEmpty()
            harness.tickUntil(100.milliseconds)
            harness.effects.filterIsInstance<DispatchEffect.Revoked>().size shouldBe 1
            harness.granted().size shouldBe 9
        }

        it("of batch jobs take tokens too") {
            val harness = ColdHarness()
            repeat(8) { harness.submit(one, cold, 60.seconds, Lane.BATCH) }
            harness.tickUntil(200.milliseconds)
            harness.granted().size shouldBe 3
        }
    }

    // Guards against one upstream that takes the load of a whole data centre that has come back.
    describe("upstreams that return together") {
        it("warm up evenly") {
            val harness = ColdHarness()
            val four = (1..4).map { upstream("i-$it") }
            val limits = four.associate { it.id to limit() }
            while (harness.now < start + 3.seconds) {
                harness.now += 10.milliseconds
                harness.submit(four, limits, 100.milliseconds)
                harness.step { tick(it, edgePolicy, harness.now) }
                harness.finishOlderThan(50.milliseconds)
            }
            val counts = four.map { one -> harness.grants().count { it.upstream.id == one.id } }
            counts.sum() shouldBeGreaterThan 180
            (counts.max() - counts.min()) shouldBeLessThanOrEqualTo 4
        }
    }
})
