package figdeck.wire.serving

import arrow.core.right
import figdeck.model.Row
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/** One character of four bytes in UTF-8 and of two in UTF-16. */
private const val EMOJI = "🦙"
private const val REPEATS = 20_000

/** The value of a row as another host reads it. */
private fun RowWrite.stored(): String = value.orEmpty().encodeToByteArray().decodeToString()

class RowPartsSpec : DescribeSpec({
    val id = JobId("7c41e0")

    describe("text with characters of two UTF-16 units that spans several rows") {
        // Guards against results that read differently at another host: a pair that was cut between rows came as "??".
        for (offset in 0..1) {
            it("is read as it was written, shifted by $offset characters") {
                val result = JobResult("item", isComplete = true, output = "x".repeat(offset) + EMOJI.repeat(REPEATS))
                val rows = resultWrites(id, 0, result).map { Row(it.key, it.stored(), 1) }
                rows.size shouldBeGreaterThan 1
                decodeResult(rows) shouldBe result.right()
            }

            it("is read as it was written among the items of a job, shifted by $offset characters") {
                val headers = mapOf("X-Title" to "x".repeat(offset) + EMOJI.repeat(REPEATS))
                val rows = itemWrites(id, encodeJobItems(listOf(JobItem("item", "/a", headers, ByteArray(0), 1))))
                rows.size shouldBeGreaterThan 1
                decodeJobItems(rows.joinToString("") { it.stored() }).getOrNull()?.single()?.headers shouldBe headers
            }
        }
    }

    describe("the values of consecutive rows") {
        it("are at most as long as a row holds, and together the whole text") {
            val text = "x" + EMOJI.repeat(REPEATS)
            val values = splitIntoRowValues(text)
            values.map { it.length } shouldBe listOf(15_999, 16_000, 8_002)
            values.joinToString("") shouldBe text
        }

        it("are none for an empty text") {
            splitIntoRowValues("") shouldBe emptyList()
        }
    }
})
