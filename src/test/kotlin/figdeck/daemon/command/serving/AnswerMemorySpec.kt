package figdeck.daemon.command.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class AnswerMemorySpec : DescribeSpec({
    describe("memory for answers with 10 bytes each and 100 bytes together") {
        it("lets one answer grow to both, and no further") {
            val share = AnswerMemory(10, 100).newShare()
            share.growTo(60) shouldBe true
            share.growTo(110) shouldBe true
            share.growTo(111) shouldBe false
        }

        // Guards against short answers that are lost while other upstreams send bytes without end.
        it("keeps a short answer while long ones hold all of it") {
            val memory = AnswerMemory(10, 100)
            memory.newShare().growTo(110) shouldBe true
            memory.newShare().growTo(10) shouldBe true
            memory.newShare().growTo(11) shouldBe false
        }

        it("has all of it again once the answers are closed, also those that were refused more") {
            val memory = AnswerMemory(10, 100)
            val shares = List(3) { memory.newShare() }
            shares.map { it.growTo(60) } shouldBe listOf(true, true, false)
            shares.forEach { it.close() }
            memory.newShare().growTo(110) shouldBe true
        }
    }
})
