package figdeck.command.serving

import figdeck.model.Moment
import figdeck.query.serving.hasTimeFor
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlanStopSpec : DescribeSpec({
    val start = Moment(monotonicNanos = 0, epochMillis = 0)

    describe("a planned stop") {
        it("leaves the rotation after 3 s and ends 700 ms before the process is killed") {
            val stop = planStop(8.seconds, start)
            stop.leavesRotationAt shouldBe start + 3.seconds
            stop.endsAt shouldBe start + 7_300.milliseconds
        }

        it("leaves the rotation after half of its time if that is short") {
            planStop(2_700.milliseconds, start).leavesRotationAt shouldBe start + 1.seconds
        }

        it("has time for a request that ends with it, and none for a longer one") {
            val stop = planStop(8.seconds, start)
            stop.hasTimeFor(1_500.milliseconds, start + 5_800.milliseconds) shouldBe true
            stop.hasTimeFor(1_500.milliseconds, start + 5_801.milliseconds) shouldBe false
        }
    }
})
