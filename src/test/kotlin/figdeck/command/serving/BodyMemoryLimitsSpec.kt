package figdeck.command.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val limits = BodyMemoryLimits(small = 600_000, large = 24_000_000, submissions = 24_000_000)

class BodyMemoryLimitsSpec : DescribeSpec({
    describe("the memory for request bodies") {
        it("is 30 % of a heap of 112 MB, beside the half for batch jobs") {
            bodyMemoryLimits(112_000_000) shouldBe
                BodyMemoryLimits(small = 5_600_000, large = 11_200_000, submissions = 16_800_000)
        }
    }

    describe("a large body") {
        val submission = BodyDemand(4_000_000, BodyUse.SUBMIT)
        val forwarded = BodyDemand(4_000_000, BodyUse.READ)

        it("counts with what is done with it") {
            submission.memory shouldBe 32_000_000
            forwarded.memory shouldBe 12_000_000
            forwarded.copy(use = BodyUse.FORWARD).memory shouldBe 4_000_000
        }

        it("is admitted beside others up to the limit") {
            shareFor(forwarded, BodyMemoryUse(large = 12_000_000), limits) shouldBe BodyShare.LARGE
            shareFor(forwarded, BodyMemoryUse(large = 12_000_001), limits) shouldBe null
        }

        it("that exceeds the limit is admitted alone, whatever small ones take") {
            shareFor(submission, BodyMemoryUse(small = 600_000), limits) shouldBe BodyShare.SUBMISSIONS
            shareFor(submission, BodyMemoryUse(submissions = 1), limits) shouldBe null
        }

        // Guards against submissions that are refused as long as any large body is forwarded.
        it("to be stored as a job is admitted beside forwarded ones") {
            shareFor(submission, BodyMemoryUse(large = 24_000_000), limits) shouldBe BodyShare.SUBMISSIONS
        }
    }

    describe("a small body") {
        val small = BodyDemand(SMALL_BODY_BYTES, BodyUse.READ)

        it("has room whatever large ones take") {
            shareFor(small, BodyMemoryUse(large = 32_000_000), limits) shouldBe BodyShare.SMALL
        }

        it("takes room of large ones when its own is used up") {
            shareFor(small, BodyMemoryUse(small = 500_000), limits) shouldBe BodyShare.LARGE
            shareFor(small, BodyMemoryUse(small = 500_000, large = 24_000_000), limits) shouldBe null
        }

        it("that is empty is always admitted") {
            val full = BodyMemoryUse(small = 600_000, large = 24_000_000, submissions = 24_000_000)
            shareFor(BodyDemand(0, BodyUse.SUBMIT), full, limits) shouldBe BodyShare.SMALL
        }
    }

    describe("the size reserved before a body is read") {
        it("is the declared one, or that of most bodies if it comes in chunks, and at most the allowed one") {
            firstBodyBytes(declared = 3_000_000, maxBytes = 4_000_000) shouldBe 3_000_000
            firstBodyBytes(declared = null, maxBytes = 4_000_000) shouldBe 4_096
            firstBodyBytes(declared = null, maxBytes = 1_000) shouldBe 1_000
        }

        it("doubles with a body in chunks, up to the allowed one") {
            grownBodyBytes(size = 4_097, maxBytes = 4_000_000) shouldBe 8_192
            grownBodyBytes(size = 8_192, maxBytes = 4_000_000) shouldBe 8_192
            grownBodyBytes(size = 100_000, maxBytes = 4_000_000) shouldBe 131_072
            grownBodyBytes(size = 3_000_000, maxBytes = 4_000_000) shouldBe 4_000_000
        }
    }
})
