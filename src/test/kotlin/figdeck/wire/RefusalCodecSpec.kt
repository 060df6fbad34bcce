package figdeck.wire

import figdeck.model.MayHaveRun
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.serving.WeightsVersion
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The parts of a refusal that a caller receives, apart from the message. */
private data class CallerView(
    val status: Int,
    val type: String,
    val ran: MayHaveRun,
    val retryAfterSeconds: Long?,
)

private fun Refusal.callerView() = CallerView(status, type, ran, retryAfterSeconds)

class RefusalCodecSpec : DescribeSpec({
    describe("a refusal without a Retry-After value") {
        mapOf(
            Refusal.MissingKey to CallerView(401, "missing_key", MayHaveRun.NO, null),
            Refusal.UnknownKey to CallerView(401, "unknown_key", MayHaveRun.NO, null),
            Refusal.BadRequest("model", "name one") to CallerView(400, "bad_request", MayHaveRun.NO, null),
            Refusal.BodyTooLarge(10) to CallerView(413, "body_too_large", MayHaveRun.NO, null),
            Refusal.WeightsUnavailable(WeightsVersion("1")) to
                CallerView(421, "weights_unavailable", MayHaveRun.NO, null),
            Refusal.ModelNotFound("m") to CallerView(404, "model_not_found", MayHaveRun.NO, null),
            Refusal.TooManyTokens(9, 5) to CallerView(422, "too_many_tokens", MayHaveRun.NO, null),
            Refusal.RouteNotFound("r") to CallerView(404, "route_not_found", MayHaveRun.NO, null),
            Refusal.NotFound("x") to CallerView(404, "not_found", MayHaveRun.NO, null),
            Refusal.IdempotencyKeyReused("k") to CallerView(409, "key_reused", MayHaveRun.NO, null),
            Refusal.Cancelled to CallerView(409, "cancelled", MayHaveRun.NO, null),
            Refusal.UpstreamLost(UpstreamId("u")) to CallerView(502, "upstream_lost", MayHaveRun.UNKNOWN, null),
        ).forEach { (refusal, expected) ->
            it("has type ${expected.type}") { refusal.callerView() shouldBe expected }
        }
    }

    describe("a refusal with a Retry-After value") {
        mapOf(
            Refusal.RateLimited(TeamId("t"), 20.milliseconds) to CallerView(429, "over_rate", MayHaveRun.NO, 1),
            Refusal.Overloaded("it", 2_500.milliseconds) to CallerView(503, "overloaded", MayHaveRun.NO, 3),
            Refusal.NoUpstream("model 'm'") to CallerView(503, "no_upstream", MayHaveRun.NO, 1),
            Refusal.Evacuated("this route") to CallerView(503, "evacuated", MayHaveRun.NO, 1),
            Refusal.NoHomeUpstream("this route") to CallerView(503, "no_home_upstream", MayHaveRun.NO, 1),
            Refusal.StaleConfiguration to CallerView(503, "stale_configuration", MayHaveRun.NO, 1),
            Refusal.StoreUnavailable(5.seconds) to CallerView(503, "store_unavailable", MayHaveRun.NO, 5),
            Refusal.Draining to CallerView(503, "draining", MayHaveRun.NO, 1),
            Refusal.RequestQuarantined(3.seconds) to CallerView(503, "request_quarantined", MayHaveRun.NO, 3),
            Refusal.StillRunning(RequestId("r")) to CallerView(409, "still_running", MayHaveRun.UNKNOWN, 1),
        ).forEach { (refusal, expected) ->
            it("has type ${expected.type} and a Retry-After value") {
                refusal.callerView() shouldBe expected
            }
        }
    }

    describe("the JSON of a refusal") {
        it("contains the type, the message, whether the work may have run, and the request id") {
            encodeRefusal(Refusal.UpstreamLost(UpstreamId("slots-1")), "r-1") shouldBe
                """{"error":{"type":"upstream_lost","message":"upstream 'slots-1' was lost after it got the work: """ +
                """check its effect before sending again","ran":"unknown","request_id":"r-1"}}"""
        }
    }
})
