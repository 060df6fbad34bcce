package figdeck.command.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val KIB = 1024L
private val limits = responseMemoryLimits(112_000_000)

private fun use(own: Long, all: Long = own) = ResponseMemoryUse(own, all)

class ResponseMemoryLimitsSpec : DescribeSpec({
    describe("the memory for responses that callers don't read") {
        it("is a tenth of the heap, and 256 KiB for each") {
            limits.all shouldBe 11_200_000
            limits.each shouldBe 256 * KIB
        }
    }

    describe("a response") {
        it("is sent ahead of its caller up to its own limit") {
            hasRoom(use(256 * KIB), limits) shouldBe true
            hasRoom(use(256 * KIB + 1), limits) shouldBe false
        }

        // Guards against slow callers that together take the memory of the host.
        it("has no room beyond the limit for all, however little it takes") {
            hasRoom(use(1, all = limits.all), limits) shouldBe true
            hasRoom(use(1, all = limits.all + 1), limits) shouldBe false
        }

        // Guards against slow callers whose full shares stop those that are a little behind.
        it("that takes little has room that larger ones have not") {
            hasRoom(use(16 * KIB, all = limits.large + 1), limits) shouldBe true
            hasRoom(use(16 * KIB + 1, all = limits.large + 1), limits) shouldBe false
        }

        // Guards against slow callers that stop those that read at once.
        it("whose caller has taken everything is never stopped") {
            hasRoom(use(0, all = limits.all * 2), limits) shouldBe true
            mayResume(use(0, all = limits.all * 2), limits) shouldBe true
        }
    }

    describe("the number of exceeded limits") {
        // Guards against a stopped response that is not woken when it may continue.
        it("changes wherever the memory of others decides whether a response may continue") {
            val small = limits.copy(resume = KIB)
            val totals = listOf(small.large, small.all).map { it - small.resume }.flatMap { listOf(it, it + 1) }
            totals.map { exceededLimits(it, small) } shouldBe listOf(0, 1, 1, 2)
            totals.map { mayResume(use(200 * KIB, all = it), small) } shouldBe listOf(true, false, false, false)
            totals.map { mayResume(use(KIB, all = it), small) } shouldBe listOf(true, true, true, false)
        }
    }

    describe("a response that was stopped") {
        // Guards against callers that take single bytes and so keep a stream stopped without end.
        it("continues when its caller has taken more than a few bytes") {
            mayResume(use(256 * KIB - 1), limits) shouldBe false
            mayResume(use(240 * KIB), limits) shouldBe true
        }

        it("continues when others have freed memory") {
            mayResume(use(200 * KIB, all = limits.large), limits) shouldBe false
            mayResume(use(200 * KIB, all = limits.large - 16 * KIB), limits) shouldBe true
        }
    }
})
