package figdeck.http.client

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun searchIn(text: String) = StatusLineSearch().apply { text.encodeToByteArray().forEach { add(it) } }

class StatusLineSearchSpec : DescribeSpec({
    describe("the search for a status line") {
        it("finds one anywhere") {
            listOf("HTTP/1.1 200 OK", "part of a bodyHTTP/1.0 404 ", "HTTP/1.HTTP/1.1 500").forEach {
                searchIn(it).isFound shouldBe true
            }
        }

        it("finds nothing that only resembles one") {
            listOf("HTTP/1.1", "HTTP/1.1 OK", "HTTP/x.1 200", "http/1.1 200", "GET / HTTP/1.1\r\n").forEach {
                searchIn(it).isFound shouldBe false
            }
        }

        it("finds one that ends in the bytes that follow, if it began before them") {
            val line = "HTTP/1.1 200".encodeToByteArray()
            (1 until line.size).forEach { length ->
                val search = searchIn("body" + line.decodeToString(0, length))
                search.isFoundBefore(line.copyOfRange(length, line.size)) shouldBe true
                search.isFoundBefore(line) shouldBe false
            }
            searchIn("body").isFoundBefore(line) shouldBe false
        }
    }
})
