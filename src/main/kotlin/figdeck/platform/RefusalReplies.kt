package figdeck.platform

import figdeck.http.newHeaders
import figdeck.http.server.HttpResponder
import figdeck.model.MayHaveRun
import figdeck.model.Refusal
import figdeck.telemetry.REFUSAL_HEADER
import figdeck.wire.encodeRefusal
import figdeck.wire.status
import figdeck.wire.type
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.DurationUnit

private const val JSON_TYPE = "application/json"
private const val TOO_MANY_REQUESTS = 429
private const val MISDIRECTED_REQUEST = 421
private const val SERVICE_UNAVAILABLE = 503
private const val INTERNAL_ERROR = 500
private const val REQUEST_TIMEOUT = 408

/** Statuses by which callers conclude that the request did not run and never will. */
private val NOT_RUN_STATUSES = setOf(REQUEST_TIMEOUT, MISDIRECTED_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE)

/** Sends [refusal] with its status; 429 and 503 carry the seconds to wait in Retry-After. */
internal suspend fun HttpResponder.refuse(refusal: Refusal) {
    val headers = newHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, JSON_TYPE)
        .set(REFUSAL_HEADER, refusal.type)
    // If the work may have run, 500 replaces a status by which callers conclude that it did not.
    val status =
        if (refusal.ran == MayHaveRun.UNKNOWN && refusal.status in NOT_RUN_STATUSES) INTERNAL_ERROR else refusal.status
    if (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS) {
        refusal.retryAfter?.let {
            headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(it.toDouble(DurationUnit.SECONDS)))
        }
    }
    respond(status, headers, encodeRefusal(refusal).encodeToByteArray())
}
