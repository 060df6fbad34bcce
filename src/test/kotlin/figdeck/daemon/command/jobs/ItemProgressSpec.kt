package figdeck.daemon.command.jobs

import figdeck.model.serving.ItemProgress
import figdeck.model.serving.OutputSegment
import figdeck.model.serving.noProgress
import figdeck.model.serving.segmentFrom
import figdeck.model.serving.withEvent
import figdeck.model.serving.withSegment
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val SEEDS = 500
private const val FIRST_ID = 7L
private const val EVENTS = 40
private val whole = (0 until EVENTS).fold(noProgress) { all, i -> all.withEvent(FIRST_ID + i, "word $i")!! }

/** Segments that several writers kept of the same output, some of them lost, in the order of their keys. */
private fun segments(random: Random): List<OutputSegment> = List(random.nextInt(1, 12)) {
    val from = random.nextInt(EVENTS)
    OutputSegment(from, FIRST_ID + from, whole.events.subList(from, random.nextInt(from, EVENTS) + 1).toList())
}.sortedBy { it.start }

private fun ItemProgress.isPrefixOfWhole(): Boolean =
    events == whole.events.subList(0, events.size) && (lastEventId ?: (FIRST_ID - 1)) == FIRST_ID + events.size - 1

class ItemProgressSpec : DescribeSpec({
    describe("an output read back from its segments") {
        it("is a beginning of the output whoever kept them, $SEEDS seeds") {
            val failedSeeds = (0 until SEEDS).filterNot { seed ->
                segments(Random(seed)).fold(noProgress) { read, segment -> read.withSegment(segment) }.isPrefixOfWhole()
            }
            failedSeeds.shouldBeEmpty()
        }
        it("ends at a gap") {
            val read = noProgress.withSegment(
                OutputSegment(0, 1, listOf("a"))
            ).withSegment(OutputSegment(2, 3, listOf("c")))
            read.events.toList() shouldBe listOf("a")
        }
    }

    describe("a segment whose ids don't continue the output") {
        it("adds nothing") {
            whole.withSegment(OutputSegment(EVENTS, 1, listOf("again"))) shouldBe whole
        }
    }

    describe("the part of an output that is not kept yet") {
        it("begins after the kept events and ends where the row is full") {
            whole.segmentFrom(38, 100) shouldBe OutputSegment(38, FIRST_ID + 38, listOf("word 38", "word 39"))
            whole.segmentFrom(38, 7) shouldBe OutputSegment(38, FIRST_ID + 38, listOf("word 38"))
            whole.segmentFrom(EVENTS, 100).shouldBeNull()
        }
    }

    describe("an event") {
        it("is refused when its id doesn't follow") {
            listOf(null, FIRST_ID + EVENTS + 1, FIRST_ID).forEach { id -> whole.withEvent(id, "x").shouldBeNull() }
        }
    }
})
