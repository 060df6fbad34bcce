package figdeck.platform

import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.http.HttpBody
import figdeck.http.client.HttpReply
import figdeck.http.newHeaders
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedRate
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

private fun rateIn(status: Int, vararg limits: String, id: String = "a-1"): AdvertisedRate? {
    val answered = newHeaders().set(ATTEMPT_ID_HEADER, id).set(RESPONSE_STAMP_HEADER, "stamp")
    limits.forEach { answered.add(LIMIT_HEADER, it) }
    val reply = HttpReply(status, answered, HttpBody(emptyFlow()))
    return upstreamReply(reply, ExpectedReply("a-1", UpstreamId("i-1"), null)).advertisedRate
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

    describe("the limit that an answer names") {
        mapOf("2.8" to 2.8, "3" to 3.0, "0" to 0.0, ".5" to 0.5, "1e-05" to 1e-5, "9".repeat(30) to 1e30).forEach {
            it("'${it.key}' is a rate") {
                listOf(200, 500, 503).forEach { status ->
                    rateIn(status, it.key) shouldBe AdvertisedRate.Limited(it.value)
                }
            }
        }

        // Guards against a limit that is lifted, or set, by a value that means nothing.
        listOf("", "three", "NaN", "Infinity", "-1", "1e999", "0x3", "3f", "1,5", "3 a second").forEach {
            it("'$it' tells nothing") { rateIn(200, it) shouldBe null }
        }

        it("is the lowest of several, and tells nothing if one of them is no rate") {
            rateIn(200, "4", "2") shouldBe AdvertisedRate.Limited(2.0)
            rateIn(200, "4", "two") shouldBe null
        }

        it("is none in an answer without the header, and unknown in one that another upstream may have sent") {
            rateIn(200) shouldBe AdvertisedRate.Unlimited
            rateIn(200, "3", id = "a-2") shouldBe null
            rateIn(MISDIRECTED_REQUEST, "3") shouldBe null
        }
    }
})
