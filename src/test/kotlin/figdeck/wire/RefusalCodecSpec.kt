package figdeck.wire

import figdeck.model.Ran
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a caller sees of a refusal. */
private data class Seen(
    val status: Int,
    val type: String,
    val ran: Ran,
    val retryAfterSeconds: Long?,
)

private fun Refusal.seen() = Seen(status, type, ran, retryAfterSeconds)

class RefusalCodecSpec : DescribeSpec({
    describe("a refusal that waiting doesn't help") {
        mapOf(
            Refusal.MissingKey to Seen(401, "missing_key", Ran.NO, null),
            Refusal.UnknownKey to Seen(401, "unknown_key", Ran.NO, null),
            Refusal.BadRequest("model", "name one") to Seen(400, "bad_request", Ran.NO, null),
            Refusal.BodyTooLarge(10) to Seen(413, "body_too_large", Ran.NO, null),
            Refusal.ModelNotFound("m") to Seen(404, "model_not_found", Ran.NO, null),
            Refusal.TooManyTokens(9, 5) to Seen(422, "too_many_tokens", Ran.NO, null),
            Refusal.RouteNotFound("r") to Seen(404, "route_not_found", Ran.NO, null),
            Refusal.NotFound("x") to Seen(404, "not_found", Ran.NO, null),
            Refusal.KeyReused("k") to Seen(409, "key_reused", Ran.NO, null),
            Refusal.Cancelled to Seen(409, "cancelled", Ran.NO, null),
            Refusal.UpstreamLost(UpstreamId("u")) to Seen(502, "upstream_lost", Ran.UNKNOWN, null),
        ).forEach { (refusal, expected) ->
            it("is shown as ${expected.type}") { refusal.seen() shouldBe expected }
        }
    }

    describe("a refusal that waiting helps") {
        mapOf(
            Refusal.OverRate(TeamId("t"), 20.milliseconds) to Seen(429, "over_rate", Ran.NO, 1),
            Refusal.Overloaded("it", 2_500.milliseconds) to Seen(503, "overloaded", Ran.NO, 3),
            Refusal.NoUpstream("model 'm'") to Seen(503, "no_upstream", Ran.NO, 1),
            Refusal.StaleConfiguration to Seen(503, "stale_configuration", Ran.NO, 1),
            Refusal.StoreUnavailable(5.seconds) to Seen(503, "store_unavailable", Ran.NO, 5),
            Refusal.Draining to Seen(503, "draining", Ran.NO, 1),
            Refusal.StillRunning(RequestId("r")) to Seen(409, "still_running", Ran.UNKNOWN, 1),
        ).forEach { (refusal, expected) ->
            it("is shown as ${expected.type}, with a time to come back") { refusal.seen() shouldBe expected }
        }
    }

    describe("the JSON of a refusal") {
        it("names type, message with its remedy, whether it ran, and the request") {
            encodeRefusal(Refusal.UpstreamLost(UpstreamId("slots-1")), "r-1") shouldBe
                """{"error":{"type":"upstream_lost","message":"upstream 'slots-1' was lost after it got the work: """ +
                """check its effect before sending again","ran":"unknown","request_id":"r-1"}}"""
        }
    }
})
