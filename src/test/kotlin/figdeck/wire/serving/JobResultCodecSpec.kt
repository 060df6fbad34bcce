package figdeck.wire.serving

import arrow.core.right
import figdeck.model.HostId
import figdeck.model.Row
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.shouldBe

private const val LONG_OUTPUT = 40_000

class JobResultCodecSpec : DescribeSpec({
    val id = JobId("7c41e0")

    describe("the record of a job") {
        it("survives encoding and decoding") {
            val record = JobRecord(
                id, TeamId("t"), "r", 17, 12, 900, 3, false, JobOwner(HostId("h"), "i"), 2, "w",
            )
            decodeJobRecord(id.value, encodeJobRecord(record)) shouldBe record.right()
            val versioned = record.copy(planVersion = 7)
            decodeJobRecord(id.value, encodeJobRecord(versioned)) shouldBe versioned.right()
        }

        it("is decoded without the version of the configuration, and with fields of a later release") {
            val stored = """{"team":"t","route":"r","submittedAt":17,"total":12,"tokens":900,"results":3,""" +
                """"ended":false,"owner":"h","incarnation":"i","chunks":2,"writeId":"w","added":1}"""
            decodeJobRecord(id.value, stored).map { it.planVersion } shouldBe null.right()
        }
    }

    describe("a result that needs several rows") {
        val result = JobResult("item", isComplete = true, output = "x".repeat(LONG_OUTPUT))
        val rows = resultWrites(id, 12, result).map { Row(it.key, it.value.orEmpty(), 5) }

        it("survives encoding and decoding, at its position") {
            rows.size shouldBe 3
            isCompleteResult(rows) shouldBe true
            decodeResult(rows) shouldBe result.right()
            rows.map { resultPosition(id, it) }.toSet() shouldBe setOf(12)
        }

        it("is recognized as incomplete if a row is missing") {
            isCompleteResult(rows.dropLast(1)) shouldBe false
        }

        it("sorts between the previous and the next position") {
            val next = resultWrites(id, 13, result).first().key
            (listOf(keyBeforeResult(id, 12)) + rows.map { it.key } + keyBeforeResult(id, 13) + next).shouldBeSorted()
        }
    }
})
