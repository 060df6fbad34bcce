package figdeck.query.serving

import figdeck.model.serving.OutputRunId
import figdeck.model.serving.OutputSegment
import figdeck.model.serving.SavedSegment
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

/** A segment of [run] from the event number [start] on, whose events name their run and number. */
private fun segment(run: String, start: Int, count: Int, continues: String? = null) = SavedSegment(
    OutputRunId(run),
    continues?.let { OutputRunId(it) },
    OutputSegment(start, start + 1L, List(count) { "$run${start + it}" }),
)

private fun read(vararg segments: SavedSegment): String? =
    longestOutput(segments.toList())?.progress?.events?.joinToString(" ")

class LongestOutputSpec : DescribeSpec({
    describe("segments of one run") {
        it("are joined, whatever their order") {
            read(segment("a", 2, 1), segment("a", 0, 2)) shouldBe "a0 a1 a2"
        }
        it("are joined where they overlap, and end at a gap") {
            read(segment("a", 0, 3), segment("a", 2, 2), segment("a", 5, 1)) shouldBe "a0 a1 a2 a3"
        }
        it("are no output without their beginning") {
            read(segment("a", 1, 3)).shouldBeNull()
        }
    }

    describe("segments of a run that continues another") {
        val root = segment("a", 0, 3)

        it("follow the events from which it resumed, and none that came after them") {
            read(root, segment("b", 2, 2, continues = "a"), segment("b", 4, 1)) shouldBe "a0 a1 b2 b3 b4"
        }
        it("are not used once an event before them is missing") {
            read(root, segment("b", 4, 2, continues = "a")) shouldBe "a0 a1 a2"
        }
        it("are not used without its first segment") {
            read(root, segment("b", 3, 2)) shouldBe "a0 a1 a2"
        }
        it("go on with the id after the last event before them") {
            val next = longestOutput(listOf(root, segment("b", 2, 1, continues = "a")))
            next?.progress?.lastEventId shouldBe 3
        }
        it("may be continued in turn") {
            read(
                root,
                segment("c", 4, 2, continues = "b"),
                segment("b", 3, 2, continues = "a"),
            ) shouldBe "a0 a1 a2 b3 c4 c5"
        }
    }

    describe("outputs of the same length") {
        it("are chosen from by their run") {
            read(segment("b", 0, 2), segment("a", 0, 2)) shouldBe "b0 b1"
            read(segment("a", 0, 2), segment("b", 0, 2)) shouldBe "b0 b1"
        }
    }
})
