package figdeck.command.work

import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.ExpectedWork
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.WorkFeatures
import figdeck.query.work.expectedWork
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.maps.shouldNotContainKey
import io.kotest.matchers.shouldBe
import kotlin.math.PI
import kotlin.math.abs
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ROUTE = "chat"
private const val MAX_OUTPUT = 2_000
private val start = Moment(0, 0)
private val honest = TeamId("honest")

private fun features(hint: Int? = null, route: String = ROUTE, longest: Int = MAX_OUTPUT) =
    WorkFeatures(route, promptTokens = 450, sharedTokens = 200, maxOutputTokens = longest, hintedOutputTokens = hint)

private fun usage(tokens: Int, isWhole: Boolean = true) =
    SlotUsage(tokens, 100.milliseconds, 1.seconds, isWhole)

private fun Random.nextGaussian(): Double = sqrt(-2 * ln(1 - nextDouble())) * cos(2 * PI * nextDouble())

/** Outputs of lognormal lengths, with hints that are off by [lie] besides their own error. */
private data class Outputs(
    val median: Double = 200.0,
    val spread: Double = 0.5,
    val hintError: Double? = null,
    val lie: Double = 1.0,
)

/** A load of requests that are observed one after another. */
private class Load(seed: Int = 1) {
    val random = Random(seed)
    var state = noWorkEstimates
    var now = start

    fun observe(tokens: Int, hint: Int? = null, team: TeamId? = null, isWhole: Boolean = true) {
        state = observeWork(state, features(hint), team, usage(tokens, isWhole), now)
    }

    /** Observes [count] of [outputs], one each 50 ms. */
    fun observeMany(count: Int, outputs: Outputs = Outputs(), team: TeamId? = null) = repeat(count) {
        now += 50.milliseconds
        val tokens = lognormal(outputs.median, outputs.spread)
        observe(tokens, outputs.hintError?.let { error -> hint(tokens * outputs.lie, error) }, team)
    }

    fun lognormal(median: Double, spread: Double): Int =
        (median * exp(spread * random.nextGaussian())).roundToInt().coerceIn(1, MAX_OUTPUT)

    /** A hint may exceed the maximum of its request. */
    fun hint(median: Double, error: Double): Int =
        (median * exp(error * random.nextGaussian())).roundToInt().coerceAtLeast(1)

    fun expect(hint: Int? = null, team: TeamId? = null, longest: Int = MAX_OUTPUT): ExpectedWork =
        expectedWork(state, features(hint, longest = longest), team, now)
}

class WorkEstimatesSpec : DescribeSpec({
    describe("a route that nothing is known of") {
        // Guards against a new granting host that places and charges blindly, or beyond the maximum.
        it("is expected to need what the hint says, at most the maximum") {
            expectedWork(noWorkEstimates, features(hint = 90), null, start) shouldBe ExpectedWork(450, 90, 180)
            expectedWork(noWorkEstimates, features(hint = 9_000), null, start) shouldBe ExpectedWork(450, 2_000, 2_000)
        }

        it("is expected to need half of the maximum without a hint, or with one that is no length") {
            listOf(null, 0, -5).forEach {
                expectedWork(noWorkEstimates, features(hint = it), null, start) shouldBe ExpectedWork(450, 1_000, 2_000)
            }
        }

        it("is expected to need at least one token, whatever its maximum") {
            listOf(-3, 0, 1).forEach {
                expectedWork(noWorkEstimates, features(longest = it), null, start) shouldBe ExpectedWork(450, 1, 1)
            }
        }
    }

    describe("a route with few observations") {
        // Guards against an estimate that one odd output determines.
        it("is estimated by the hint until eight outputs are known") {
            val load = Load()
            repeat(7) { load.observe(1_500) }
            load.expect(hint = 90).outputTokens shouldBe 90
            load.observe(1_500)
            load.expect(hint = 90).outputTokens shouldBeInRange 1_430..1_570
        }

        // Guards against a route at the limit whose estimate jumps with each observation.
        it("keeps its lengths until half of the weight is gone, then uses the hint again") {
            val load = Load()
            repeat(9) { load.observe(300) }
            load.now += 30.seconds
            load.expect(hint = 90).outputTokens shouldBeInRange 285..315
            load.now += 10.seconds
            load.expect(hint = 90).outputTokens shouldBe 90
        }
    }

    describe("a route whose lengths are known") {
        it("is expected to need their mean, and their 0.9 quantile at most in one of ten cases") {
            val load = Load().apply { observeMany(2_000) }
            val mean = 200 * exp(0.5.pow(2) / 2)
            load.expect().outputTokens shouldBeInRange (mean * 0.93).toInt()..(mean * 1.07).toInt()
            val upper = 200 * exp(1.2816 * 0.5)
            load.expect().upperOutputTokens shouldBeInRange (upper * 0.9).toInt()..(upper * 1.1).toInt()
        }

        // Guards against lengths whose mean a few outputs determine: a typical value would be far too small.
        it("is expected to need the mean of heavy-tailed lengths, not their median") {
            val load = Load()
            repeat(4_000) {
                load.now += 5.milliseconds
                load.observe((40 / (1 - load.random.nextDouble()).pow(1 / 1.5)).roundToInt().coerceAtMost(MAX_OUTPUT))
            }
            // Pareto with index 1.5 from 40 on, cut at 2,000: mean 102.9, median 63.5, 0.9 quantile 185.7.
            load.expect().outputTokens shouldBeInRange 93..113
            load.expect().upperOutputTokens shouldBeInRange 170..202
        }

        it("is never expected to exceed the maximum of a request") {
            val load = Load().apply { observeMany(200) }
            load.expect(longest = 50) shouldBe ExpectedWork(450, 50, 50)
        }

        // Guards against a history that outlives the load it comes from.
        it("follows a change of its load within two half-lives") {
            val load = Load().apply { observeMany(600) }
            load.observeMany(1_200, Outputs(median = 800.0, spread = 0.25))
            load.expect().outputTokens shouldBeInRange 600..830
            load.observeMany(2_400, Outputs(median = 800.0, spread = 0.25))
            load.expect().outputTokens shouldBeInRange 775..860
        }
    }

    describe("a team whose outputs differ from those of its route") {
        val long = TeamId("long")
        val load = Load()
        repeat(400) {
            load.observeMany(4, team = honest)
            load.observeMany(1, Outputs(median = 1_000.0, spread = 0.25), team = long)
        }

        // Guards against short requests that wait behind long ones since both look alike.
        it("is estimated by its own lengths") {
            load.expect(team = long).outputTokens shouldBeInRange 950..1_120
            load.expect(team = honest).outputTokens shouldBeInRange 205..250
        }

        it("leaves teams that are not known to the lengths of the route") {
            load.expect(team = TeamId("new")) shouldBe load.expect()
            load.expect().outputTokens shouldBeInRange 330..450
        }
    }

    describe("hints that are right at the median") {
        /** The root of the mean square of the logarithm of the output's length divided by the expected one. */
        fun error(hintError: Double, useHint: Boolean): Double {
            val load = Load().apply { observeMany(1_000, Outputs(hintError = hintError)) }
            val squares = List(500) {
                val tokens = load.lognormal(200.0, 0.5)
                val hint = load.hint(tokens.toDouble(), hintError)
                ln(tokens.toDouble() / load.expect(hint.takeIf { useHint }).outputTokens).pow(2)
            }
            return sqrt(squares.average())
        }

        // Guards against an estimate that ignores what callers know about single requests.
        it("make the estimate better the less they are off") {
            error(hintError = 0.2, useHint = true) shouldBeLessThan 0.6 * error(hintError = 0.2, useHint = false)
            error(hintError = 0.5, useHint = true) shouldBeLessThan 0.9 * error(hintError = 0.5, useHint = false)
        }

        // Guards against an estimate that follows hints further than they are right.
        it("make it no worse if they are far off") {
            error(hintError = 2.0, useHint = true) shouldBeLessThanOrEqualTo
                1.05 * error(hintError = 2.0, useHint = false)
        }
    }

    describe("hints that lie") {
        // Guards against callers that get ahead of others, or are charged less, with a false hint.
        listOf(10.0, 0.1).forEach { lie ->
            it("by a factor of $lie throughout a route change nothing") {
                val load = Load().apply { observeMany(1_000, Outputs(hintError = 0.2, lie = lie)) }
                load.expect((200 * lie).toInt()).outputTokens shouldBeInRange 175..235
                load.expect().outputTokens shouldBeInRange 205..250
            }

            it("by a factor of $lie in one team change nothing for it nor for others") {
                val liar = TeamId("liar")
                val load = Load()
                repeat(500) {
                    load.observeMany(3, Outputs(hintError = 0.2), team = honest)
                    load.observeMany(1, Outputs(hintError = 0.2, lie = lie), team = liar)
                }
                load.expect((200 * lie).toInt(), liar).outputTokens shouldBeInRange 165..240
                load.expect(200, honest).outputTokens shouldBeInRange 175..235
            }
        }

        it("at random are not used") {
            val load = Load()
            repeat(1_000) {
                load.now += 50.milliseconds
                load.observe(load.lognormal(200.0, 0.5), if (it % 2 == 0) 2_000 else 20)
            }
            load.state.routes.getValue(ROUTE).basis shouldBe WorkBasis.HISTORY
            load.expect(20) shouldBe load.expect(2_000)
        }

        it("of a team that sends too few requests for an estimate of its own are corrected by those") {
            val load = Load().apply { observeMany(1_000, Outputs(hintError = 0.2), team = honest) }
            val rare = TeamId("rare")
            val lie = 60
            // Without any output of the team the hint moves the estimate, but not below the shortest tenth.
            val first = load.expect(lie, rare).outputTokens
            first shouldBeInRange 90..130
            repeat(6) { load.observe(400, lie, rare) }
            load.expect(lie, rare).outputTokens shouldBeGreaterThanOrEqualTo 2 * first
        }
    }

    describe("outputs that were cut") {
        // Guards against lengths that look short because callers leave or upstreams are lost.
        it("never lower the estimate") {
            val load = Load().apply { observeMany(400) }
            listOf(5, 150, 400, 1_900).forEach { tokens ->
                val before = load.expect().outputTokens
                repeat(5) { load.observe(tokens, isWhole = false) }
                load.expect().outputTokens shouldBeGreaterThanOrEqualTo before
            }
        }

        it("raise it as far as they were longer than what was known") {
            val load = Load()
            repeat(20) { load.observe(100) }
            repeat(20) { load.observe(1_600, isWhole = false) }
            load.expect().outputTokens shouldBeInRange 800..900
        }

        it("leave the mean of the whole lengths if half of all outputs are cut at random") {
            val load = Load()
            repeat(3_000) {
                load.now += 10.milliseconds
                val tokens = load.lognormal(200.0, 0.5)
                val cut = load.lognormal(200.0, 0.5)
                load.observe(minOf(tokens, cut), isWhole = tokens <= cut)
            }
            load.expect().outputTokens shouldBeInRange 200..255
        }

        it("teach nothing where nothing is known, nor if nothing was generated") {
            val load = Load()
            repeat(20) { load.observe(100, team = honest, isWhole = false) }
            load.observe(0, team = honest)
            load.state shouldBe noWorkEstimates
        }

        it("teach nothing about hints") {
            val load = Load().apply { observeMany(100, Outputs(hintError = 0.2)) }
            val before = load.state.routes.getValue(ROUTE).ratios
            load.observe(10, hint = 1_000, isWhole = false)
            load.state.routes.getValue(ROUTE).ratios shouldBe before
        }
    }

    describe("requests of 22,000 teams") {
        // Guards against memory that grows with the number of teams or routes.
        val load = Load()
        repeat(22_000) {
            load.now += 1.milliseconds
            load.observe(load.lognormal(200.0, 0.5), 200, TeamId("team-$it"))
            if (it % 100 == 0) load.observe(1_000, 200, honest)
        }

        it("leave 512 teams, the least recently seen dropped") {
            load.state.teams.size shouldBe 512
            load.state.teams shouldNotContainKey TeamRoute(ROUTE, TeamId("team-0"))
            load.expect(team = honest).outputTokens shouldBeInRange 950..1_050
        }

        it("are estimated by their route if they are not known") {
            load.expect(team = TeamId("team-0")) shouldBe load.expect()
            load.expect().outputTokens shouldBeInRange 205..250
        }

        it("keep at most 300 buckets of a histogram, whatever the lengths") {
            val wide = Load()
            repeat(2_000) { i -> wide.observe(1 + i * i * 400, hint = 1 + i % 7) }
            val history = wide.state.routes.getValue(ROUTE)
            listOf(history.lengths, history.ratios, history.hints).forEach {
                it.weights.size shouldBeLessThanOrEqualTo 300
            }
        }

        it("keep at most 64 routes") {
            var state = noWorkEstimates
            repeat(1_000) { state = observeWork(state, features(route = "route-$it"), null, usage(100), start) }
            state.routes.size shouldBe 64
        }
    }

    describe("the state") {
        // Guards against a state that is changed in place while traffic threads read it.
        it("stays as it was when more is observed, and equals one of the same observations") {
            val load = Load().apply { observeMany(100, Outputs(hintError = 0.2), team = honest) }
            val before = load.state
            val expected = load.expect(150, honest)
            load.observe(1_900, 100, honest)
            expectedWork(before, features(150), honest, load.now) shouldBe expected
            Load().apply { observeMany(100, Outputs(hintError = 0.2), team = honest) }.state shouldBe before
        }

        it("changes nothing about the estimate if time stands still or goes back") {
            val load = Load().apply { observeMany(100) }
            val earlier = Moment(0, 0)
            val state = observeWork(load.state, features(), null, usage(200), earlier)
            abs(
                expectedWork(state, features(), null, earlier).outputTokens - load.expect().outputTokens
            ) shouldBeLessThan 10
        }
    }
})
