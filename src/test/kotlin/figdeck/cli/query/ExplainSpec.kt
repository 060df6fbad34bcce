package figdeck.cli.query

import com.github.ajalt.clikt.testing.test
import figdeck.http.RawUpstream
import figdeck.http.send
import figdeck.http.wholeResponse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CopyOnWriteArrayList

/** The request lines that a daemon receives for `explain` with [id]. */
private fun requestLines(id: String): List<String> {
    val lines = CopyOnWriteArrayList<String>()
    RawUpstream { request, socket ->
        lines += request.head.first()
        socket.send(wholeResponse("[]"))
    }.use { daemon ->
        Explain().test("--operator-address=${daemon.address}", "--operator-secret=s", "--json", "--", id)
    }
    return lines
}

class ExplainSpec : DescribeSpec({
    describe("the command explain") {
        it("asks for the id as it is") {
            requestLines("r-1") shouldBe listOf("GET /v1/explain/r-1 HTTP/1.1")
        }

        // Guards against an id that changes the request or adds another one under the operator's secret.
        it("asks with all other characters encoded, in one request") {
            requestLines("a b/../c?x=1#é%") shouldBe
                listOf("GET /v1/explain/a%20b%2F..%2Fc%3Fx%3D1%23%C3%A9%25 HTTP/1.1")
            requestLines("1 HTTP/1.1\r\n\r\nDELETE /v1/templates/t") shouldBe
                listOf("GET /v1/explain/1%20HTTP%2F1.1%0D%0A%0D%0ADELETE%20%2Fv1%2Ftemplates%2Ft HTTP/1.1")
        }
    }
})
