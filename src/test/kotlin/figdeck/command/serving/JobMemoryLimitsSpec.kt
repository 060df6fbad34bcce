package figdeck.command.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class JobMemoryLimitsSpec : DescribeSpec({
    describe("the memory for batch jobs") {
        it("is a half of a heap of 112 MB") {
            jobMemoryLimits(112_000_000) shouldBe JobMemoryLimits(
                held = 22_400_000,
                loading = 16_800_000,
                cached = 8_960_000,
                answers = 7_840_000,
            )
        }
    }

    describe("a limit of 100 bytes") {
        listOf(
            Triple(0L, 100L, true),
            Triple(60L, 40L, true),
            Triple(60L, 41L, false),
            Triple(0L, 500L, true),
            Triple(1L, 500L, false),
        ).forEach { (used, bytes, isAdmitted) ->
            it("${if (isAdmitted) "admits" else "refuses"} $bytes bytes beside $used") {
                fitsInMemory(used, bytes, limit = 100) shouldBe isAdmitted
            }
        }
    }
})
