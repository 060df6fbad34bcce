package figdeck.http.client

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val VISIBLE_FIRST = 0x21
private const val VISIBLE_LAST = 0x7E
private const val CHECKED_CHARACTERS = 0x2100

class RequestLineSpec : DescribeSpec({
    describe("a request line") {
        it("is made of a token and a path in origin form with a query") {
            requestLine("POST", "/notes/1?x=%0A&y=[1]").getOrNull() shouldBe
                RequestLine("POST", "/notes/1?x=%0A&y=[1]")
        }

        it("is made of visible ASCII characters alone") {
            val accepted = (0 until CHECKED_CHARACTERS).filter { requestLine("GET", "/a${it.toChar()}b").isRight() }
            accepted shouldBe (VISIBLE_FIRST..VISIBLE_LAST).toList()
        }

        it("is not made of another form, of no path or of a method that is no token") {
            listOf("GET" to "", "GET" to "*", "GET" to "http://h/", "" to "/", "G T" to "/", "GET\r\n" to "/").forEach {
                requestLine(it.first, it.second).isLeft() shouldBe true
                shouldThrow<IllegalArgumentException> { RequestLine(it.first, it.second) }
            }
        }

        it("names the character that has to be encoded") {
            requestLine("GET", "/a\nb").leftOrNull() shouldBe "the target has the character U+000A: percent-encode it"
        }

        it("can't be changed into an unchecked one") {
            shouldThrow<IllegalArgumentException> { RequestLine("GET", "/a").copy(target = "/a b") }
        }
    }

    describe("encoded text") {
        it("keeps only unreserved characters in a segment") {
            encodeSegment("aZ9-._~ /?#%\r\né") shouldBe "aZ9-._~%20%2F%3F%23%25%0D%0A%C3%A9"
        }

        it("keeps in a path what may stand there") {
            encodePath("a/b c?") shouldBe "a/b%20c%3F"
            val allowed = "v1/models/x:predict@2,a+b=c!(d)*e;f&g'h$"
            encodePath(allowed) shouldBe allowed
            encodePath("%#[]\"<>|\r\n") shouldBe "%25%23%5B%5D%22%3C%3E%7C%0D%0A"
        }
    }
})
