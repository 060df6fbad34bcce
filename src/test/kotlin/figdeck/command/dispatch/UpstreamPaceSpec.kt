package figdeck.command.dispatch

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.SlotUsage
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val usualToken = 10.milliseconds

private fun usage(perToken: Duration, tokens: Int = 150) =
    SlotUsage(tokens, 200.milliseconds, perToken * (tokens - TOKENS_PER_EVENT), isWhole = true)

/** The pace after [count] requests with [perToken], one every [interval] from [from] on. */
private fun UpstreamPace.after(
    count: Int,
    perToken: Duration,
    from: Moment = start,
    interval: Duration = 500.milliseconds,
): UpstreamPace = (0 until count).fold(this) { pace, i ->
    pace.observe(usage(perToken), TOKENS_PER_EVENT, from + interval * i)
}

private val UpstreamPace.slowMillis get() = tokenNanos.slow.value / 1e6
private val UpstreamPace.fastMillis get() = tokenNanos.fast.value / 1e6

class UpstreamPaceSpec : DescribeSpec({
    describe("the averages of an upstream") {
        it("count the tokens after the first event only, so that short outputs do not look fast") {
            unknownPace.after(20, usualToken).slowMillis shouldBe (10.0 plusOrMinus 0.001)
        }

        it("follow a lasting change within dozens of requests, and not a single one") {
            val even = unknownPace.after(60, usualToken)
            even.after(1, usualToken * 2, start + 30.seconds).slowMillis shouldBeLessThan 10.5
            even.after(96, usualToken * 2, start + 30.seconds).slowMillis shouldBeGreaterThan 18.0
        }

        it("differ during a moment of noise: only the fast one shows it") {
            val noisy = unknownPace.after(60, usualToken).after(3, usualToken * 2.5, start + 30.seconds)
            noisy.fastMillis shouldBeGreaterThan 17.0
            noisy.slowMillis shouldBeLessThan 12.0
        }

        it("are hardly moved by a request with few tokens, whose time is mostly noise") {
            val even = unknownPace.after(60, usualToken)
            val short = even.observe(usage(usualToken * 10, tokens = 14), TOKENS_PER_EVENT, start + 31.seconds)
            short.slowMillis shouldBeLessThan 10.3
        }

        it("ignore a usage without tokens after the first event, which would divide by zero") {
            val none = SlotUsage(TOKENS_PER_EVENT, 200.milliseconds, Duration.ZERO, isWhole = true)
            unknownPace.observe(none, TOKENS_PER_EVENT, start) shouldBe unknownPace
        }

        it("are known only after eight requests, so that the first ones do not mark an upstream as slow") {
            unknownPace.after(7, usualToken).isKnown shouldBe false
            unknownPace.after(8, usualToken).isKnown shouldBe true
        }
    }

    describe("a gap of ten seconds without observations") {
        val slow = unknownPace.after(60, usualToken * 2)
        val later = start + 60.seconds

        it("makes the pace outdated, so that an upstream that has recovered is tried again") {
            slow.isOutdated(start + 32.seconds) shouldBe false
            slow.isOutdated(later) shouldBe true
        }

        it("lets the next request decide the fast average and some requests the slow one") {
            val recovered = slow.after(1, usualToken, later)
            recovered.fastMillis shouldBe (10.0 plusOrMinus 0.001)
            recovered.slowMillis shouldBeGreaterThan 17.5
            slow.after(24, usualToken, later).slowMillis shouldBeLessThan 12.0
        }
    }

    describe("a restart of the upstream") {
        val slow = unknownPace.ofStart(5, start).after(60, usualToken * 2)

        it("forgets the pace, since another engine or another load may have started") {
            slow.ofStart(6, start + 33.seconds) shouldBe
                UpstreamPace(startedAtMillis = 6, coldUntil = start + 33.seconds)
        }

        it("is not assumed when the start is unknown or unchanged") {
            slow.ofStart(null, start) shouldBe slow
            slow.ofStart(5, start) shouldBe slow
        }
    }

    describe("the comparison of a pool") {
        it("tells a slow engine from noise of the same mean") {
            val random = Random(3)
            val noisy = (0 until 12).associateWith { engine ->
                (0 until 60).fold(unknownPace) { pace, i ->
                    val slowed = List(4) { if (random.nextDouble() < 0.15) 2.5 else 1.0 }.average()
                    val factor = if (engine == 0) 2 * slowed else slowed
                    pace.observe(usage(usualToken * factor), TOKENS_PER_EVENT, start + 300.milliseconds * i)
                }
            }
            val harness = PaceHarness(noisy.mapKeys { "engine-${it.key}" })
            harness.review(start + 18.seconds).slow.keys.map { it.value } shouldBe listOf("engine-0")
        }

        it("does not switch at every small change: an upstream stays slow until it is clearly even again") {
            val even = unknownPace.after(120, usualToken)
            val harness = PaceHarness(emptyMap())
            val switches = listOf(12, 13, 12, 13, 12, 11, 12).mapIndexed { i, millis ->
                val varying = unknownPace.after(120, millis.milliseconds)
                harness.set((0..2).associate { "engine-$it" to even } + ("engine-3" to varying))
                harness.review(start + 61.seconds + 1.seconds * i).isByCompletion
            }
            switches shouldBe listOf(false, true, true, true, true, false, false)
        }

        it("decides nothing while fewer than half of the upstreams are known") {
            val known =
                mapOf(
                    "engine-0" to unknownPace.after(9, usualToken * 2),
                    "engine-1" to unknownPace.after(9, usualToken)
                )
            val unknown = (2..4).associate { "engine-$it" to unknownPace }
            val pace = PaceHarness(known + unknown).review(start + 5.seconds)
            pace.isByCompletion shouldBe false
            pace.slow shouldBe emptyMap()
        }

        it("finds the slow one of two upstreams") {
            val paces = mapOf(
                "engine-0" to unknownPace.after(20, usualToken * 2),
                "engine-1" to unknownPace.after(20, usualToken),
            )
            PaceHarness(paces).review(start + 11.seconds).slow.keys.map { it.value } shouldBe listOf("engine-0")
        }

        // Guards against a pool whose few fast engines are loaded like its many slow ones, which are the median.
        it("finds the fast one of four, and not at every small change") {
            val even = unknownPace.after(120, usualToken)
            val harness = PaceHarness(emptyMap())
            val switches = listOf(8.5, 7.4, 8.2, 7.4, 8.4, 8.7, 8.0).mapIndexed { i, millis ->
                val varying = unknownPace.after(120, millis.milliseconds)
                harness.set((0..2).associate { "engine-$it" to even } + ("engine-3" to varying))
                harness.review(start + 61.seconds + 1.seconds * i).isByCompletion
            }
            switches shouldBe listOf(false, true, true, true, true, false, false)
        }

        it("does not take the noise of a few requests for a slow engine") {
            val even = (1..3).associate { "engine-$it" to unknownPace.after(12, usualToken) }
            val harness = PaceHarness(even + ("engine-0" to unknownPace.after(12, usualToken * 1.5)))
            harness.review(start + 7.seconds).slow shouldBe emptyMap()
        }

        it("keeps an upstream slow after a gap, until some requests show that it has recovered") {
            val even = (1..3).associate { "engine-$it" to unknownPace.after(60, usualToken) }
            val slow = unknownPace.after(60, usualToken * 2)
            val harness = PaceHarness(even + ("engine-0" to slow))
            harness.review(start + 31.seconds).slow.size shouldBe 1
            harness.set(mapOf("engine-0" to slow.after(1, usualToken * 2, start + 60.seconds)))
            harness.review(start + 61.seconds).slow.size shouldBe 1
            harness.set(mapOf("engine-0" to slow.after(24, usualToken, start + 60.seconds)))
            harness.review(start + 73.seconds).slow.size shouldBe 0
        }

        it("does not observe the requests of a cold start, which would mark every restarted upstream as slow") {
            val harness = PaceHarness((0..3).associate { "engine-$it" to unknownPace.after(20, usualToken) })
            harness.review(start + 11.seconds)
            harness.starts["engine-0"] = 2
            harness.review(start + 12.seconds)
            harness.run("engine-0", usage(usualToken * 3), start + 13.seconds) shouldBe 0
            harness.run("engine-0", usage(usualToken), start + 16.seconds) shouldBe 1
        }
    }

    describe("an upstream that is cold again without a restart") {
        it("is not observed for what began before it was warm, also after its limit has ended") {
            val engine = Upstream(UpstreamId("e"), Address("h", 1), DataCentre("a"), UpstreamKind.ENGINE, 8, false)
            val limit = ColdLimit(until = start + 3.seconds, requestsPerSecond = 20.0)
            val cold = idleUpstream(engine, start).limitedBy(limit, start)
            val warm = cold.limitedBy(null, start + 4.seconds)
            warm.cold shouldBe null
            warm.pace.coldUntil shouldBe start + 3.seconds
        }
    }

    describe("the changes to log") {
        it("name a slow upstream and the pool once, and nothing while they last") {
            val even = (1..3).associate { "engine-$it" to unknownPace.after(20, usualToken) }
            val harness = PaceHarness(even + ("engine-0" to unknownPace.after(20, usualToken * 2)))
            val empty = harness.state
            harness.review(start + 11.seconds)
            val first = harness.state
            harness.review(start + 12.seconds)
            placementChanges(empty, first).map { it::class } shouldBe
                listOf(PlacementChange.Upstream::class, PlacementChange.Pool::class)
            placementChanges(first, harness.state) shouldBe emptyList()
        }
    }
})
