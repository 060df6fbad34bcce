package figdeck.platform

import arrow.core.getOrElse
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.http.HttpBody
import figdeck.http.client.HttpReply
import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.model.UpstreamId
import figdeck.model.serving.PromptPart
import figdeck.model.serving.WeightsVersion
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.flow.emptyFlow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun headers(vararg values: Pair<String, String>): HttpHeaders =
    newHeaders().apply { values.forEach { (name, value) -> add(name, value) } }

private val first = ExpectedReply("1", UpstreamId("i-1"), weights = null)

private fun call(headers: HttpHeaders) =
    HttpCall("POST", "/lohu930/2f", "/lohu930/2f", emptyMap(), headers, HttpBody(emptyFlow()))

private fun reply(status: Int, vararg values: Pair<String, String>) =
    HttpReply(status, headers(*values), HttpBody(emptyFlow()))

class CallerHeadersSpec : DescribeSpec({
    describe("the headers of a request") {
        val parsed = parseCallerHeaders(
            call(
                headers(
                    "Host" to "ficu95.example:80",
                    "X-Attempt-Id" to "9c41",
                    "X-Deadline-Ms" to "5000",
                    "X-Token-Usage" to "1460,80",
                    "X-Prompt-Prefix" to "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
                    "Last-Event-Id" to "12",
                    "Authorization" to "Bearer k1",
                ),
            ),
        ).getOrElse { error(it.message) }

        it("are parsed into the values that serving needs") {
            parsed.copy(affinity = null) shouldBe
                CallerHeaders(
                    id = "9c41",
                    host = "ficu95.example",
                    key = "k1",
                    timeLeft = 5.seconds,
                    tokens = 1540,
                    affinity = null,
                    lastEventId = 12,
                    sharedParts = listOf(PromptPart("5c1e07a2"), PromptPart("91bd3f06")),
                    expectedWeights = null,
                )
        }

        it("name the weights that the request asks for") {
            val asking = parseCallerHeaders(call(headers("Host" to "h", "X-Expect-Version" to "07")))
            asking.getOrNull()?.expectedWeights shouldBe WeightsVersion("7")
        }

        it("have the same affinity if the prompts differ only in their last part") {
            val other = parseCallerHeaders(
                call(headers("Host" to "h", "X-Prompt-Prefix" to "5c1e07a2:800,91bd3f06:410,0000:9")),
            ).getOrElse { error(it.message) }
            other.affinity shouldBe parsed.affinity
        }

        it("are refused without a host") {
            parseCallerHeaders(call(headers("X-Attempt-Id" to "1"))).isLeft() shouldBe true
        }
    }

    describe("the headers forwarded to an upstream") {
        val sent = upstreamRequestHeaders(
            original = headers(
                "Host" to "ficu95.example",
                "Authorization" to "Bearer k1",
                "X-Tenant" to "forged",
                "X-Expect-Instance" to "forged",
                "Connection" to "keep-alive, X-Hop",
                "X-Hop" to "1",
                "X-Attempt-Id" to "9c41",
                "X-Model" to "m",
            ),
            upstream = UpstreamId("i-1"),
            team = "huka270",
            timeLeft = 900.milliseconds,
            resumeAfter = 7,
        )

        it("contain the authenticated team and the chosen upstream, and no key") {
            sent.associate { it.key to it.value } shouldBe mapOf(
                "Host" to "ficu95.example",
                "X-Attempt-Id" to "9c41",
                "X-Model" to "m",
                "X-Expect-Instance" to "i-1",
                "X-Deadline-Ms" to "900",
                "X-Tenant" to "huka270",
                "Last-Event-Id" to "7",
            )
        }

        it("contain no team on an open route, even if the caller sent one") {
            val open = upstreamRequestHeaders(headers("X-Tenant" to "forged"), UpstreamId("i-1"), null, 1.seconds, null)
            open.contains("X-Tenant") shouldBe false
        }
    }

    describe("an upstream's response") {
        it("is accepted with the attempt id and a stamp") {
            val own = reply(200, "X-Attempt-Id" to "1", "X-Response-Stamp" to "s")
            upstreamReply(own, first).executionStatus shouldBe ExecutionStatus.RAN
        }

        it("is not trusted with another id or none, without a stamp or with a content encoding") {
            listOf(
                reply(200, "X-Response-Stamp" to "s"),
                reply(200, "X-Attempt-Id" to "2", "X-Response-Stamp" to "s"),
                reply(200, "X-Attempt-Id" to "1"),
                reply(200, "X-Attempt-Id" to "1", "X-Response-Stamp" to "s", "Content-Encoding" to "gzip"),
            ).forEach { upstreamReply(it, first).executionStatus shouldBe ExecutionStatus.UNVERIFIED }
        }

        it("is not trusted without the attempt id, whatever its status and its claim not to have run the request") {
            listOf(200, 404, 421, 429, 500, 503).forEach { status ->
                upstreamReply(reply(status, "X-Response-Stamp" to "s"), first).executionStatus shouldBe
                    ExecutionStatus.UNVERIFIED
                upstreamReply(reply(status, "X-Not-Executed" to "1"), first).executionStatus shouldBe
                    ExecutionStatus.UNVERIFIED
            }
        }

        it("says that its upstream is leaving, unless another one may have sent it") {
            val leaving = "Server-Leaving" to "1"
            upstreamReply(reply(503, "X-Attempt-Id" to "1", "X-Not-Executed" to "1", leaving), first).isLeaving shouldBe
                true
            upstreamReply(reply(500, "X-Attempt-Id" to "1", leaving), first).isLeaving shouldBe true
            upstreamReply(reply(500, "X-Attempt-Id" to "1"), first).isLeaving shouldBe false
            upstreamReply(reply(500, "X-Attempt-Id" to "2", leaving), first).isLeaving shouldBe false
            upstreamReply(reply(421, "X-Attempt-Id" to "1", leaving), first).isLeaving shouldBe false
        }

        // Guards against a cold upstream that gets full load because its answer is not read, or is another one's.
        it("says how long its upstream stays cold, unless another one may have sent it") {
            fun coldTime(status: Int, id: String, value: String) =
                upstreamReply(reply(status, "X-Attempt-Id" to id, "X-Cold-Ms" to value), first).coldRemaining
            coldTime(500, "1", "1700") shouldBe 1_700.milliseconds
            coldTime(503, "1", "0") shouldBe Duration.ZERO
            coldTime(500, "2", "1700").shouldBeNull()
            coldTime(421, "1", "1700").shouldBeNull()
            listOf("", "soon", "NaN", "Infinity", "-1").forEach { coldTime(500, "1", it).shouldBeNull() }
        }

        it("reports that the request did not run") {
            val own = "X-Attempt-Id" to "1"
            upstreamReply(reply(503, own, "X-Not-Executed" to "1"), first).executionStatus shouldBe
                ExecutionStatus.NOT_RUN
            upstreamReply(reply(421, own, "X-Instance-Id" to "i-2"), first).executionStatus shouldBe
                ExecutionStatus.WRONG_UPSTREAM
        }

        it("counts as run if it is an error of the upstream itself") {
            val own = "X-Attempt-Id" to "1"
            upstreamReply(reply(503, own), first).executionStatus shouldBe ExecutionStatus.RAN
            upstreamReply(reply(500, own), first).executionStatus shouldBe ExecutionStatus.RAN
        }
    }
})
