package figdeck.platform

import figdeck.model.Refusal
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val HALF_PAIR = "\\ud83e"
private const val WHOLE_PAIR = "\\ud83e\\udd99"

private fun submission(id: String, path: String = "/notes/1", header: String = "x"): ByteArray =
    """{"Requests":[{"Id":"a","Path":"/notes/1"},{"Id":"$id","Path":"$path","Headers":{"X-Title":"$header"}}]}"""
        .encodeToByteArray()

class JobMessagesSpec : DescribeSpec({
    describe("a submission whose second item has half of a surrogate pair") {
        // Guards against items that another host reads with '?' in their id, path or headers.
        for ((place, body) in listOf(
            "id" to submission(id = "b$HALF_PAIR"),
            "path" to submission(id = "b", path = "/notes/$HALF_PAIR"),
            "headers" to submission(id = "b", header = "$HALF_PAIR x"),
        )) {
            it("is refused if that is in its $place, with the item's position") {
                val refusal = decodeSubmission(body).leftOrNull() as Refusal.BadRequest
                refusal.path shouldBe "Requests[1]"
            }
        }
    }

    describe("a submission with whole surrogate pairs") {
        it("is decoded as it was sent") {
            val items = decodeSubmission(submission(id = "b$WHOLE_PAIR")).getOrNull()
            items?.map { it.id } shouldBe listOf("a", "b🦙")
        }
    }
})
