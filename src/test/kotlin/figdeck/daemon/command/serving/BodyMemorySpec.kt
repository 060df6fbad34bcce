package figdeck.daemon.command.serving

import figdeck.command.serving.BodyDemand
import figdeck.command.serving.BodyMemoryLimits
import figdeck.command.serving.BodyUse
import figdeck.model.Moment
import figdeck.model.Refusal
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val limits = BodyMemoryLimits(small = 1_000_000, large = 12_000_000, submissions = 32_000_000)
private val submission = BodyDemand(4_000_000, BodyUse.SUBMIT)

class BodyMemorySpec : DescribeSpec({
    fun BodyMemory.retryAfter(timeLeft: Duration): Duration =
        refusalOf(submission, timeLeft).shouldBeInstanceOf<Refusal.Overloaded>().retryAfter

    describe("callers that are refused at the same time") {
        // Guards against several callers that are told the same time.
        it("return in turn, also after one whose deadline is early") {
            val memory = BodyMemory(limits) { Moment(0, 0) }
            List(3) { memory.retryAfter(60.seconds) } shouldBe listOf(1.seconds, 2.seconds, 3.seconds)
            memory.retryAfter(2.seconds) shouldBe 1.seconds
            memory.retryAfter(60.seconds) shouldBe 4.seconds
        }
    }
})
