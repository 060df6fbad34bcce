package figdeck.daemon.command.jobs

import figdeck.model.serving.ItemProgress
import figdeck.model.serving.OutputSegment
import figdeck.model.serving.firstEvents
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

/** Segments of one run, saved more than once, sorted by key. Some are missing. */
private fun segments(random: Random): List<OutputSegment> = List(random.nextInt(1, 12)) {
    val from = random.nextInt(EVENTS)
    OutputSegment(from, FIRST_ID + from, whole.events.subList(from, random.nextInt(from, EVENTS) + 1).toList())
}.sortedBy { it.start }

private fun ItemProgress.isPrefixOfWhole(): Boolean =
    events == whole.events.subList(0, events.size) && (lastEventId ?: (FIRST_ID - 1)) == FIRST_ID + events.size - 1

class ItemProgressSpec : DescribeSpec({
    describe("an output read from its saved segments") {
        it("is a prefix of the output whichever of its run's writes arrived, $SEEDS seeds") {
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

    describe("a segment whose ids do not continue the output") {
        it("is ignored") {
            whole.withSegment(OutputSegment(EVENTS, 1, listOf("again"))) shouldBe whole
        }
    }

    describe("the unsaved part of an output") {
        it("starts after the saved events and ends when the row is full") {
            whole.segmentFrom(38, 100) shouldBe OutputSegment(38, FIRST_ID + 38, listOf("word 38", "word 39"))
            whole.segmentFrom(38, 7) shouldBe OutputSegment(38, FIRST_ID + 38, listOf("word 38"))
            whole.segmentFrom(EVENTS, 100).shouldBeNull()
        }
    }

    describe("the first events of an output") {
        it("end with the id of the last of them") {
            whole.firstEvents(2) shouldBe noProgress.withEvent(FIRST_ID, "word 0")!!.withEvent(FIRST_ID + 1, "word 1")
            whole.firstEvents(EVENTS) shouldBe whole
            whole.firstEvents(0) shouldBe noProgress
        }
    }

    describe("an event") {
        it("is rejected if its id does not follow the last one") {
            listOf(null, FIRST_ID + EVENTS + 1, FIRST_ID).forEach { id -> whole.withEvent(id, "x").shouldBeNull() }
        }
    }
})
