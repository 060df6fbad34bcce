package figdeck.wire.serving

import figdeck.model.Row
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.OutputRunId
import figdeck.model.serving.OutputSegment
import figdeck.model.serving.SavedSegment
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val POSITION = 7
private val id = JobId("job-1")
private val first = SavedSegment(OutputRunId("b"), OutputRunId("a"), OutputSegment(2, 3, listOf("three", "four")))
private val next = SavedSegment(OutputRunId("b"), null, OutputSegment(4, 5, listOf("five")))

private fun SavedSegment.toRow(): Row = outputSegmentWrite(id, POSITION, this).let { Row(it.key, it.value!!, 1) }

class OutputSegmentCodecSpec : DescribeSpec({
    describe("the row of a segment") {
        it("has its run in the key, and the run that it continues in the value") {
            outputSegmentWrite(id, POSITION, first) shouldBe RowWrite(
                "jobruns/job-1/00007/00002/b",
                """{"start":2,"firstId":3,"events":["three","four"],"continues":"a"}""",
            )
            outputSegmentWrite(id, POSITION, next) shouldBe RowWrite(
                "jobruns/job-1/00007/00004/b",
                """{"start":4,"firstId":5,"events":["five"]}""",
            )
        }
        it("is read as it was written") {
            listOf(first, next).forEach { saved ->
                decodeSegment(saved.toRow()).getOrNull() shouldBe saved
                itemPosition(id, saved.toRow()) shouldBe POSITION
            }
        }
    }
})
