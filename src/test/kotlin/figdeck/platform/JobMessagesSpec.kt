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

    // Guards against items that write a request of their own, or that can't be sent and end the loop that runs jobs.
    describe("a submission whose second item") {
        for ((fault, item) in mapOf(
            "has line breaks in its path" to
                """{"Id":"b","Path":"/notes/1 HTTP/1.1\r\nX-Tenant: other\r\n\r\nPOST /notes/2"}""",
            "has a space in its path" to """{"Id":"b","Path":"/notes/1 2"}""",
            "has a character outside ASCII in its path" to """{"Id":"b","Path":"/notes/\u00e9"}""",
            "has a path without a slash" to """{"Id":"b","Path":"notes/1"}""",
            "has no path" to """{"Id":"b","Path":""}""",
            "has a space in a header name" to """{"Id":"b","Path":"/notes/1","Headers":{"X Title":"x"}}""",
            "has an empty header name" to """{"Id":"b","Path":"/notes/1","Headers":{"":"x"}}""",
            "has a colon in a header name" to """{"Id":"b","Path":"/notes/1","Headers":{"X-Tenant: other":"x"}}""",
            "has a line feed in a header value" to
                """{"Id":"b","Path":"/notes/1","Headers":{"X-Title":"x\nX-Tenant: other"}}""",
            "has a NUL in a header value" to """{"Id":"b","Path":"/notes/1","Headers":{"X-Title":"x\u0000"}}""",
            "has a header value that starts with a space" to
                """{"Id":"b","Path":"/notes/1","Headers":{"X-Title":" x"}}""",
            "has a header name with a letter outside ASCII" to
                """{"Id":"b","Path":"/notes/1","Headers":{"\u0141x":"x"}}""",
            "has no id" to """{"Id":"","Path":"/notes/1"}""",
            "has an id that ends with a space" to """{"Id":"b ","Path":"/notes/1"}""",
            "has a carriage return in its id" to """{"Id":"b\r","Path":"/notes/1"}""",
        )) {
            it("$fault is refused with the item's position") {
                val refusal = decodeSubmission(
                    """{"Requests":[{"Id":"a","Path":"/notes/1"},$item]}""".encodeToByteArray()
                )
                (refusal.leftOrNull() as? Refusal.BadRequest)?.path shouldBe "Requests[1]"
            }
        }
    }

    describe("a submission with a tab in a header value and a query in a path") {
        it("is decoded as it was sent") {
            val body = """{"Requests":[{"Id":"a","Path":"/notes/1?x=%0A&y=[1]","Headers":{"X-Title":"a\tb c"}}]}"""
            val item = decodeSubmission(body.encodeToByteArray()).getOrNull()?.single()
            item?.path shouldBe "/notes/1?x=%0A&y=[1]"
            item?.headers shouldBe mapOf("X-Title" to "a\tb c")
        }
    }

    describe("a submission with whole surrogate pairs") {
        it("is decoded as it was sent") {
            val items = decodeSubmission(submission(id = "b$WHOLE_PAIR")).getOrNull()
            items?.map { it.id } shouldBe listOf("a", "b🦙")
        }
    }
})
