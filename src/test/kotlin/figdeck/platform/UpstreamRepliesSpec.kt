package figdeck.platform

import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.http.HttpBody
import figdeck.http.client.HttpReply
import figdeck.http.newHeaders
import figdeck.model.UpstreamId
import figdeck.model.serving.WeightsVersion
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.flow.emptyFlow

private const val MISDIRECTED_REQUEST = 421

private fun statusOf(expectedWeights: String?, vararg headers: Pair<String, String>): ExecutionStatus {
    val answered = newHeaders().set(ATTEMPT_ID_HEADER, "a-1")
    headers.forEach { (name, value) -> answered.set(name, value) }
    val reply = HttpReply(MISDIRECTED_REQUEST, answered, HttpBody(emptyFlow()))
    val expected = ExpectedReply("a-1", UpstreamId("i-1"), expectedWeights?.let { parseWeights(it) })
    return upstreamReply(reply, expected).executionStatus
}

class UpstreamRepliesSpec : DescribeSpec({
    // Guards against a sound upstream that is dropped because it has other weights than a request asks for.
    describe("a 421 to a request") {
        it("shows that its upstream has other weights, by the version or by the id in the answer") {
            statusOf("1", WEIGHTS_HEADER to "2") shouldBe ExecutionStatus.OTHER_WEIGHTS
            statusOf("1", UPSTREAM_ID_HEADER to "i-1") shouldBe ExecutionStatus.OTHER_WEIGHTS
            statusOf("1") shouldBe ExecutionStatus.OTHER_WEIGHTS
        }

        it("shows that another upstream answered, by the id in the answer or because the weights are as requested") {
            statusOf("1", UPSTREAM_ID_HEADER to "i-2", WEIGHTS_HEADER to "2") shouldBe ExecutionStatus.WRONG_UPSTREAM
            statusOf("1", UPSTREAM_ID_HEADER to "no id\u00e9") shouldBe ExecutionStatus.WRONG_UPSTREAM
            statusOf("1", WEIGHTS_HEADER to "01") shouldBe ExecutionStatus.WRONG_UPSTREAM
            statusOf(null) shouldBe ExecutionStatus.WRONG_UPSTREAM
            statusOf(null, WEIGHTS_HEADER to "2") shouldBe ExecutionStatus.WRONG_UPSTREAM
        }

        it("is not run for a reason that it doesn't tell if the expected upstream names itself") {
            statusOf(null, UPSTREAM_ID_HEADER to "i-1") shouldBe ExecutionStatus.NOT_RUN
        }

        it("is not trusted without the id of the attempt") {
            val reply = HttpReply(MISDIRECTED_REQUEST, newHeaders(), HttpBody(emptyFlow()))
            val expected = ExpectedReply("a-1", UpstreamId("i-1"), WeightsVersion("1"))
            upstreamReply(reply, expected).executionStatus shouldBe ExecutionStatus.UNVERIFIED
        }
    }
})
