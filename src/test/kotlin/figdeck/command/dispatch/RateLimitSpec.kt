package figdeck.command.dispatch

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
import figdeck.model.serving.AdvertisedRate
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private val start = Moment(0, 0)
private val edgePolicy = DispatchPolicy(choose = mostFreeSlotsChoice, deadlineMargin = 0.0)
private val limited = upstream("i-1")
private val other = upstream("i-2")

private fun upstream(name: String, startedAt: Long = 1) = Upstream(
    UpstreamId(name),
    Address("127.0.0.1", 1),
    DataCentre("centre-a"),
    UpstreamKind.ENGINE,
    slots = 8,
    honoursFencing = false,
    startedAtMillis = startedAt,
)

private fun rate(perSecond: Double) = AdvertisedRate.Limited(perSecond)

private fun bucketOf(limit: RateLimit): RateBucket = (null as RateBucket?).limitedTo(limit, start)

/** The tokens taken in [span] by a host that takes each as soon as it looks, every [interval]. */
private fun RateBucket.takenIn(span: Duration, interval: Duration = 20.milliseconds): Int {
    var bucket = this
    var now = bucket.updatedAt
    val end = now + span
    var taken = 0
    while (now < end) {
        now += interval
        if (bucket.wholeTokens(now) > 0) {
            bucket = bucket.take(now)
            taken++
        }
    }
    return taken
}

/** One host that grants slots. */
private class LimitedHarness(limit: RateLimit?) {
    var state = limitRates(emptyDispatch(DataCentre("centre-a")), listOf(LimitedUpstream(limited, limit)), start)
    var now = start
    private val effects = mutableListOf<DispatchEffect>()
    private var last = 0L

    val grantedAt: List<UpstreamId> get() = effects.filterIsInstance<DispatchEffect.Granted>().map { it.upstream.id }

    fun submit(
        candidates: List<Upstream>,
        lane: Lane = Lane.ONLINE,
        maxWait: Duration = 180.milliseconds,
    ): Long {
        val ticket = ++last
        val request = DispatchRequest(candidates, TeamId("stado"), 1, lane, 1, null, now + maxWait)
        step { admit(it, Arrival(ticket, request, ticket), edgePolicy, now) }
        return ticket
    }

    fun finishAll() = state.upstreams.values.flatMap { it.running.keys }.forEach { ticket ->
        step { release(it, Release(ticket, SlotOutcome.ANSWERED, 1, ticket), edgePolicy, now) }
    }

    fun limit(upstream: Upstream, limit: RateLimit?) {
        state = limitRates(state, listOf(LimitedUpstream(upstream, limit)), now)
    }

    fun retryAfter(ticket: Long): Duration? = effects.filterIsInstance<DispatchEffect.Refused>()
        .find { it.ticket == ticket }
        ?.let { (it.refusal as Refusal.Overloaded).retryAfter }

    private fun step(decide: (DispatchState) -> DispatchStep) {
        val step = decide(state)
        state = step.state
        effects += step.result
    }
}

class RateLimitSpec : DescribeSpec({
    describe("the main part of a limit") {
        it("is nine tenths of it, with at most a second of tokens") {
            val bucket = bucketOf(mainRateLimit(rate(10.0)))
            bucket.wholeTokens(start).shouldBe(0)
            bucket.wholeTokens(start + 1.seconds) shouldBe 9
            bucket.wholeTokens(start + 60.seconds) shouldBe 9
            bucket.takenIn(20.seconds) shouldBeInRange 179..180
        }

        // Guards against an upstream that is never asked again whether its limit has ended.
        it("of 0 is a request every few seconds") {
            bucketOf(mainRateLimit(rate(0.0))).takenIn(60.seconds) shouldBeInRange 10..11
        }

        it("that is huge holds nothing back") {
            val bucket = bucketOf(mainRateLimit(rate(Double.MAX_VALUE)))
            bucket.wholeTokens(start + 1.milliseconds) shouldBe Int.MAX_VALUE
            bucket.take(start + 1.milliseconds).wholeTokens(start + 2.milliseconds) shouldBe Int.MAX_VALUE
            bucket.timeToTokens(100, start) shouldBe Duration.ZERO
        }

        it("keeps its tokens when the limit changes, as far as the new one holds them") {
            val now = start + 4.seconds
            val bucket = bucketOf(mainRateLimit(rate(3.0)))
            bucket.limitedTo(mainRateLimit(rate(6.0)), now).wholeTokens(now + 1.seconds) shouldBe 5
            bucket.limitedTo(mainRateLimit(rate(1.0)), now).wholeTokens(now) shouldBe 2
        }
    }

    // Guards against many hosts that each hold a token for a host they can't reach, and spend them together.
    describe("the own parts of 95 hosts of a limit of 1 request per second") {
        val limits = (1..95).map { ownRateLimit(rate(1.0), 95, HostId("host-$it"), limited.id) }

        it("are a tenth of it in any 4 s, however long the hosts were idle") {
            listOf(0.seconds, 60.seconds, 1_000.seconds).forEach { idle ->
                val taken = limits.sumOf {
                    bucketOf(it).copy(updatedAt = start + -idle).run {
                        copy(
                            tokens = tokens + idle.toDouble(DurationUnit.SECONDS) * limit.requestsPerSecond,
                            updatedAt = start
                        )
                    }.takenIn(4.seconds)
                }
                taken shouldBeInRange 0..4
            }
        }

        it("add up to a tenth of it over a long time") {
            limits.sumOf { bucketOf(it).takenIn(950.seconds, 100.milliseconds) } shouldBeInRange 85..100
        }

        it("tell how long the next token takes, and expire half a second after it") {
            val bucket = bucketOf(limits.first().copy(requestsPerSecond = 0.1, initialTokens = 0.5))
            bucket.timeToTokens(1, start).toDouble(DurationUnit.SECONDS) shouldBe (5.0 plusOrMinus 0.001)
            bucket.wholeTokens(start + 5.seconds) shouldBe 1
            bucket.timeToTokens(1, start + 5.seconds) shouldBe Duration.ZERO
            bucket.wholeTokens(start + 5_600.milliseconds) shouldBe 0
            bucket.timeToTokens(1, start + 6.seconds).toDouble(DurationUnit.SECONDS) shouldBe (9.0 plusOrMinus 0.001)
        }
    }

    describe("requests for an upstream with a limit") {
        it("go to another upstream while it has no token") {
            val harness = LimitedHarness(mainRateLimit(rate(3.0)))
            repeat(6) { harness.submit(listOf(limited, other)) }
            harness.grantedAt.toSet() shouldBe setOf(other.id)
        }

        it("go to it while others are full and it has tokens") {
            val harness = LimitedHarness(mainRateLimit(rate(3.0)))
            harness.now = start + 2.seconds
            repeat(16) { harness.submit(listOf(limited, other)) }
            harness.grantedAt.groupingBy { it }.eachCount() shouldBe mapOf(other.id to 8, limited.id to 2)
        }

        // Guards against refused callers that return as one, or later than the upstreams together could take them.
        it("are rejected at once if no upstream takes them in time, and return at the rate of all of them") {
            val harness = LimitedHarness(mainRateLimit(rate(2.0)))
            harness.limit(other, mainRateLimit(rate(2.0)))
            val waits = List(
                6
            ) { harness.submit(listOf(limited, other)) }.map { harness.retryAfter(it).shouldNotBeNull() }
            waits.shouldBeSorted()
            waits.last().toDouble(DurationUnit.SECONDS) shouldBeLessThanOrEqual 2.0
            harness.grantedAt.shouldBeEmpty()
        }

        it("are told to return soon by a host without the main part, since others may have tokens") {
            val harness = LimitedHarness(ownRateLimit(rate(1.0), 95, HostId("host-1"), limited.id))
            val wait = harness.retryAfter(harness.submit(listOf(limited))).shouldNotBeNull()
            wait.toDouble(DurationUnit.SECONDS) shouldBeLessThanOrEqual 2.0
        }

        // Guards against batch work that spends the tokens that online work needs.
        it("of batch work get the tokens that a full bucket can't hold") {
            val harness = LimitedHarness(mainRateLimit(rate(10.0)))
            harness.now = start + 500.milliseconds
            harness.submit(listOf(limited), Lane.BATCH, 60.seconds)
            harness.grantedAt.shouldBeEmpty()
            harness.submit(listOf(limited))
            harness.grantedAt shouldContainExactly listOf(limited.id)
            harness.now = start + 4.seconds
            harness.submit(listOf(limited), Lane.BATCH, 60.seconds)
            harness.grantedAt.size shouldBe 2
        }

        it("get all slots again once it names no limit, also those that wait") {
            val harness = LimitedHarness(mainRateLimit(rate(1.0)))
            repeat(3) { harness.submit(listOf(limited), maxWait = 10.seconds) }
            harness.grantedAt.shouldBeEmpty()
            harness.limit(limited, null)
            harness.submit(listOf(limited))
            harness.grantedAt.size shouldBe 4
        }
    }

    // Guards against an upstream that starts again and is left with the limit of its earlier start.
    describe("an upstream that starts again under its name") {
        it("has no limit") {
            val harness = LimitedHarness(mainRateLimit(rate(1.0)))
            harness.submit(listOf(upstream("i-1", startedAt = 2)))
            harness.grantedAt.size shouldBe 1
            harness.state.upstreams.getValue(limited.id).rate.shouldBeNull()
        }
    }
})
