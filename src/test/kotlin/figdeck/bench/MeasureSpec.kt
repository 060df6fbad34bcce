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

    describe("the chosen scheduling") {
        it("keeps the online tail with batch work, which gets most of what online work leaves") {
            val line = measure(stado, chosen, Load.STEADY, SEED)
            line.harm shouldBeLessThan 1.05
            line.batchPart!! shouldBeGreaterThan 85.0
            line.wrongful shouldBe 0
        }

        it("keeps its goodput at three times the capacity") {
            measureOverload(stado, chosen, SEED).goodputPart shouldBeGreaterThan 90.0
        }
    }

    describe("a measurement") {
        it("repeats with its seed") {
            val line = measure(stado, chosen, Load.BURST, SEED)
            measure(stado, chosen, Load.BURST, SEED) shouldBe line
            measure(stado, chosen, Load.BURST, SEED + 1) shouldNotBe line
        }

        it("shows what batch work does to online work without priorities") {
            val line = measure(stado, schedulings.last(), Load.STEADY, SEED)
            line.harm shouldBeGreaterThan 10.0
        }
    }
})
