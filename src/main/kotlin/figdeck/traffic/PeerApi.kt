package figdeck.traffic

import figdeck.http.newHeaders
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal

private const val UNAUTHORIZED = 401

/** What daemons ask of each other, by path, with the [secret] as bearer key. */
internal fun peerApi(secret: String, handlers: Map<String, HttpHandler>): HttpHandler = { call, responder ->
    val handler = handlers[call.path]
    when {
        !isSecret(call.bearerKey(), secret) -> responder.respond(UNAUTHORIZED, newHeaders(), ByteArray(0))
        handler == null -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        else -> handler(call, responder)
    }
}
