package figdeck.wire

import figdeck.model.MayHaveRun
import figdeck.model.Refusal
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.DurationUnit

private const val BAD_REQUEST = 400
private const val UNAUTHORIZED = 401
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val CONTENT_TOO_LARGE = 413
private const val MISDIRECTED_REQUEST = 421
private const val UNPROCESSABLE = 422
private const val TOO_MANY_REQUESTS = 429
private const val BAD_GATEWAY = 502
private const val SERVICE_UNAVAILABLE = 503
private const val GATEWAY_TIMEOUT = 504

@Serializable
internal data class RefusalDto(val error: ErrorDto)

@Serializable
internal data class ErrorDto(
    val type: String,
    val message: String,
    val ran: String,
    @SerialName("request_id") val requestId: String? = null,
)

/** The `type` of this refusal in the error body. */
internal val Refusal.type: String
    get() = when (this) {
        Refusal.MissingKey -> "missing_key"
        Refusal.UnknownKey -> "unknown_key"
        is Refusal.KeyWithdrawn -> "key_withdrawn"
        is Refusal.BadRequest -> "bad_request"
        is Refusal.BodyTooLarge -> "body_too_large"
        is Refusal.ModelNotFound -> "model_not_found"
        is Refusal.TooManyTokens -> "too_many_tokens"
        is Refusal.RouteNotFound -> "route_not_found"
        is Refusal.NotFound -> "not_found"
        is Refusal.RateLimited -> "over_rate"
        is Refusal.LimitUnavailable -> "limit_unavailable"
        is Refusal.Overloaded -> "overloaded"
        is Refusal.PromptQuarantined -> "prompt_quarantined"
        is Refusal.RequestQuarantined -> "request_quarantined"
        is Refusal.NoUpstream -> "no_upstream"
        is Refusal.Evacuated -> "evacuated"
        is Refusal.NoHomeUpstream -> "no_home_upstream"
        is Refusal.WeightsUnavailable -> "weights_unavailable"
        is Refusal.UpstreamLost -> "upstream_lost"
        is Refusal.AnswerTimeout -> "answer_timeout"
        Refusal.StaleConfiguration -> "stale_configuration"
        is Refusal.StoreUnavailable -> "store_unavailable"
        is Refusal.Unconfirmed -> "unconfirmed"
        Refusal.Draining -> "draining"
        is Refusal.IdempotencyKeyReused -> "key_reused"
        Refusal.Cancelled -> "cancelled"
        is Refusal.StillRunning -> "still_running"
        is Refusal.InDoubt -> "in_doubt"
        is Refusal.TakenOver -> "taken_over"
        is Refusal.HostLost -> "host_lost"
        is Refusal.NotStarted -> "not_started"
        is Refusal.Recorded -> type
    }

/** The HTTP status of this refusal. */
internal val Refusal.status: Int
    get() = when (this) {
        Refusal.MissingKey, Refusal.UnknownKey, is Refusal.KeyWithdrawn -> UNAUTHORIZED
        is Refusal.BadRequest -> BAD_REQUEST
        is Refusal.BodyTooLarge -> CONTENT_TOO_LARGE
        is Refusal.ModelNotFound, is Refusal.RouteNotFound, is Refusal.NotFound -> NOT_FOUND
        is Refusal.WeightsUnavailable -> MISDIRECTED_REQUEST
        is Refusal.TooManyTokens -> UNPROCESSABLE
        is Refusal.RateLimited -> TOO_MANY_REQUESTS
        is Refusal.UpstreamLost, is Refusal.Recorded -> BAD_GATEWAY
        is Refusal.IdempotencyKeyReused, Refusal.Cancelled, is Refusal.StillRunning -> CONFLICT
        is Refusal.Overloaded, is Refusal.NoUpstream, Refusal.StaleConfiguration -> SERVICE_UNAVAILABLE
        is Refusal.StoreUnavailable, is Refusal.Unconfirmed, Refusal.Draining -> SERVICE_UNAVAILABLE
        is Refusal.LimitUnavailable, is Refusal.PromptQuarantined -> SERVICE_UNAVAILABLE
        is Refusal.RequestQuarantined, is Refusal.Evacuated, is Refusal.NoHomeUpstream -> SERVICE_UNAVAILABLE
        is Refusal.InDoubt, is Refusal.TakenOver, is Refusal.AnswerTimeout -> GATEWAY_TIMEOUT
        is Refusal.HostLost, is Refusal.NotStarted -> BAD_GATEWAY
    }

/** The value of `ran` in the error body and in request records. */
internal val MayHaveRun.wireName: String get() = name.lowercase()

/** The value of `Retry-After` in whole seconds, rounded up and at least 1; null if a retry does not help. */
internal val Refusal.retryAfterSeconds: Long?
    get() = retryAfter?.let { Math.ceil(it.toDouble(DurationUnit.SECONDS)).toLong().coerceAtLeast(1) }

internal fun encodeRefusal(refusal: Refusal, requestId: String? = null): String {
    val dto = RefusalDto(ErrorDto(refusal.type, refusal.message, refusal.ran.wireName, requestId))
    return lenientJson.encodeToString(RefusalDto.serializer(), dto)
}
