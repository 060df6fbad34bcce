package figdeck.traffic

import figdeck.http.newHeaders
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal

private const val UNAUTHORIZED = 401

/** What daemons ask of each other, with the [secret] as bearer key. */
internal fun peerApi(secret: String): HttpHandler = { call, responder ->
    if (matches(call.bearerKey(), secret)) {
        responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
    } else {
        responder.full(UNAUTHORIZED, newHeaders(), ByteArray(0))
    }
}
