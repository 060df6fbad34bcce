package figdeck.query.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

class JobPollingSpec : DescribeSpec({
    describe("the interval between two reads of the job table") {
        it("is short in a small fleet, where a read costs little") {
            listOf(0, 1, 11, 13).map { jobPollInterval(it) }.toSet() shouldBe setOf(150.milliseconds)
        }

        it("grows with the fleet, so that the reads of all hosts together don't") {
            jobPollInterval(30) shouldBe 300.milliseconds
        }

        it("stays so short that results shown by one host can be read at all others within a second") {
            listOf(69, 95, 420, 1_000).map { jobPollInterval(it) }.toSet() shouldBe setOf(400.milliseconds)
        }
    }
})
