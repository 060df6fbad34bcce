package figdeck.command.serving

import figdeck.command.Step
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.TeamId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val team = TeamId("walkers")
private val limit = Limit(10.0, 10)
private val start = Moment(0, 0)

/** The number of accepted requests when one is sent every millisecond for [millis]. */
private fun countAccepted(millis: Int, take: (SharedLimits, Moment) -> Step<SharedLimits, TakeResult>): Int {
    var state = emptySharedLimits
    return (0 until millis).count { i ->
        val step = take(state, start + i.milliseconds)
        state = step.state
        step.result.taken
    }
}

class SharedLimitsSpec : DescribeSpec({
    val singleHost = LimitConditions(limit, level = null, fraction = 1.0)
    val drained = singleHost.copy(level = 0)

    describe("a bucket taken over from another host") {
        it("starts with the announced level minus the tokens that may have been taken since") {
            countAccepted(1) { state, now -> takeOwned(state, team, drained, now) } shouldBe 0
            val filled = (1..10).fold(emptySharedLimits to 0) { (state, count), _ ->
                val step = takeOwned(state, team, singleHost.copy(level = 8), start)
                step.state to count + if (step.result.taken) 1 else 0
            }
            filled.second shouldBe 4
        }

        it("grants no more than its rate when it is empty") {
            countAccepted(5_000) { state, now -> takeOwned(state, team, drained, now) } shouldBeLessThanOrEqual 50
        }

        it("grants less when other hosts grant the rest") {
            val partial = drained.copy(fraction = 0.6)
            countAccepted(5_000) { state, now -> takeOwned(state, team, partial, now) } shouldBeLessThanOrEqual 30
        }

        it("reports the wait until the next token") {
            takeOwned(emptySharedLimits, team, drained, start).result shouldBe TakeResult(false, 100.milliseconds)
        }
    }

    describe("the fallback buckets of hosts that can't reach the owner") {
        it("together grant no more than the rate, a fraction of the burst and two tokens per host") {
            val partial = singleHost.copy(fraction = 0.1)
            val total = 10 * countAccepted(5_000) { state, now -> takeFromFallback(state, team, partial, now) }
            total shouldBeLessThanOrEqual 50 + 4 + 20
        }

        it("grant a first request immediately") {
            takeFromFallback(emptySharedLimits, team, drained.copy(fraction = 0.1), start).result.taken shouldBe true
        }
    }

    describe("the bucket levels that a host announces") {
        it("leave out full buckets") {
            val used = takeOwned(emptySharedLimits, team, singleHost, start).state
            used.levels(mapOf(team to limit), start) shouldBe mapOf(team to 5)
            used.levels(mapOf(team to limit), start + 5.seconds) shouldBe emptyMap()
        }
    }
})
