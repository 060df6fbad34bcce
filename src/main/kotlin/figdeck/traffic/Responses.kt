package figdeck.traffic

import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpResponder
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.telemetry.REFUSAL_HEADER
import figdeck.wire.encodeRefusal
import figdeck.wire.retryAfterSeconds
import figdeck.wire.status
import figdeck.wire.type
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

internal const val STATUS_OK = 200
internal const val REQUEST_ID_HEADER = "X-Request-Id"
private const val JSON_TYPE = "application/json"
private const val BEARER_PREFIX = "Bearer "

/** Returns the key from the `Authorization: Bearer` header, or null if there is none. */
internal fun HttpCall.bearerKey(): String? =
    headers.get(HttpHeaderNames.AUTHORIZATION)?.takeIf { it.startsWith(BEARER_PREFIX) }?.removePrefix(BEARER_PREFIX)

internal fun jsonHeaders(requestId: RequestId? = null): HttpHeaders {
    val headers = newHeaders().set(HttpHeaderNames.CONTENT_TYPE, JSON_TYPE)
    requestId?.let { headers.set(REQUEST_ID_HEADER, it.value) }
    return headers
}

/** Sends [text] as a JSON response. */
internal suspend fun HttpResponder.json(text: String, status: Int = STATUS_OK, requestId: RequestId? = null) {
    respond(status, jsonHeaders(requestId), text.encodeToByteArray())
}

/** Sends [refusal] with its status, and with `Retry-After` if a later retry may succeed. */
internal suspend fun HttpResponder.refuse(refusal: Refusal) {
    val headers = jsonHeaders().set(REFUSAL_HEADER, refusal.type)
    refusal.retryAfterSeconds?.let { headers.set(HttpHeaderNames.RETRY_AFTER, it) }
    respond(refusal.status, headers, encodeRefusal(refusal).encodeToByteArray())
}
