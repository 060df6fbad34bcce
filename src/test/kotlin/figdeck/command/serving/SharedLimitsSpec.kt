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

/** How many of one request each millisecond for [millis] are let through. */
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

    describe("a bucket for all hosts that another host kept before") {
        it("starts with what was left there, less what may have been taken unseen") {
            countAccepted(1) { state, now -> takeOwned(state, team, drained, now) } shouldBe 0
            val filled = (1..10).fold(emptySharedLimits to 0) { (state, count), _ ->
                val step = takeOwned(state, team, singleHost.copy(level = 8), start)
                step.state to count + if (step.result.taken) 1 else 0
            }
            filled.second shouldBe 4
        }

        it("lets no more than its rate through once it is empty") {
            countAccepted(5_000) { state, now -> takeOwned(state, team, drained, now) } shouldBeLessThanOrEqual 50
        }

        it("lets less through where others let the rest through") {
            val part = drained.copy(fraction = 0.6)
            countAccepted(5_000) { state, now -> takeOwned(state, team, part, now) } shouldBeLessThanOrEqual 30
        }

        it("tells when there will be a token") {
            takeOwned(emptySharedLimits, team, drained, start).result shouldBe TakeResult(false, 100.milliseconds)
        }
    }

    describe("the parts of hosts that can't reach the owner") {
        it("are together no more than the limit, a part of the burst and two tokens for each host") {
            val part = singleHost.copy(fraction = 0.1)
            val parts = 10 * countAccepted(5_000) { state, now -> takeFromFallback(state, team, part, now) }
            parts shouldBeLessThanOrEqual 50 + 4 + 20
        }

        it("let a first request through at once") {
            takeFromFallback(emptySharedLimits, team, drained.copy(fraction = 0.1), start).result.taken shouldBe true
        }
    }

    describe("the levels that a host announces") {
        it("are those of buckets that are not full") {
            val used = takeOwned(emptySharedLimits, team, singleHost, start).state
            used.levels(mapOf(team to limit), start) shouldBe mapOf(team to 5)
            used.levels(mapOf(team to limit), start + 5.seconds) shouldBe emptyMap()
        }
    }
})
