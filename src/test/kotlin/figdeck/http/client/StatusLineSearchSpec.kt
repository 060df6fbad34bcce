package figdeck.http.client

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled

private fun searchIn(text: String) = StatusLineSearch().apply { add(Unpooled.copiedBuffer(text, Charsets.UTF_8)) }

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

        it("finds one that comes in pieces") {
            val search = StatusLineSearch()
            "body HTTP/1.HTTP/1.1 500".forEach { search.add(Unpooled.copiedBuffer("$it", Charsets.UTF_8)) }
            search.isFound shouldBe true
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
