package figdeck.bench

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

private const val SEED = 5L

class MeasureSpec : DescribeSpec({
    val stado = deployments.first()
    val chosen = schedulings.first()

    describe("the scheduling of the product") {
        it("keeps the online tail latency while batch work uses most of the remaining capacity") {
            val result = measure(stado, chosen, TraceKind.STEADY, SEED)
            result.tailRatio shouldBeLessThan 1.05
            result.batchSharePercent!! shouldBeGreaterThan 85.0
            result.wrongfulRefusals shouldBe 0
        }

        it("keeps its goodput at a demand of three times the capacity") {
            measureOverload(stado, chosen, SEED).goodputPercent shouldBeGreaterThan 90.0
        }
    }

    describe("a measurement") {
        it("is reproducible with its seed") {
            val result = measure(stado, chosen, TraceKind.BURST, SEED)
            measure(stado, chosen, TraceKind.BURST, SEED) shouldBe result
            measure(stado, chosen, TraceKind.BURST, SEED + 1) shouldNotBe result
        }

        it("shows a much longer online tail latency when batch work has no lower priority") {
            val result = measure(stado, schedulings.last(), TraceKind.STEADY, SEED)
            result.tailRatio shouldBeGreaterThan 10.0
        }
    }
})
