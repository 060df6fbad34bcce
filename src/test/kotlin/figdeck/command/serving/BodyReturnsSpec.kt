package figdeck.command.serving

import figdeck.model.Moment
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val limits = BodyMemoryLimits(small = 1_000_000, large = 12_000_000, submissions = 32_000_000)
private val now = Moment(0, 0)

class BodyReturnsSpec : DescribeSpec({
    /** The times after which callers whose deadline is [timeLeft] away are told to return when they come at once. */
    fun burst(bytes: Long, timeLeft: Duration): List<Duration> {
        var last: Moment? = null
        return List(5) {
            bodyRetryAfter(BodyDemand(bytes, BodyUse.SUBMIT), limits, last, timeLeft, now).also { last = now + it }
        }
    }

    describe("callers whose bodies find no room at the same time") {
        it("return one after the other when each takes all memory") {
            burst(4_000_000, 60.seconds) shouldBe listOf(1.seconds, 2.seconds, 3.seconds, 4.seconds, 5.seconds)
        }

        it("return closer to each other when several fit") {
            burst(1_000_000, 60.seconds) shouldBe listOf(1_000, 1_250, 1_500, 1_750, 2_000).map { it.milliseconds }
        }

        it("wait for at most half of the time until their deadlines, and for a second at least") {
            burst(4_000_000, 4.seconds) shouldBe listOf(1.seconds, 2.seconds, 2.seconds, 2.seconds, 2.seconds)
            burst(4_000_000, 1.seconds) shouldBe List(5) { 1.seconds }
        }
    }

    describe("a caller that comes after the return of the last one") {
        it("is told the least time") {
            val demand = BodyDemand(4_000_000, BodyUse.SUBMIT)
            bodyRetryAfter(demand, limits, now + (-5).seconds, 60.seconds, now) shouldBe 1.seconds
        }
    }
})
