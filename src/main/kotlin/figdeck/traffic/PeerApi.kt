package figdeck.traffic

import figdeck.http.newHeaders
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal

private const val UNAUTHORIZED = 401

/**
 * Returns the handler of the API between daemons, which passes each call to the entry of [handlers] for its path. Calls
 * must carry [secret] as their bearer token.
 */
internal fun peerApi(secret: String, handlers: Map<String, HttpHandler>): HttpHandler = { call, responder ->
    val handler = handlers[call.path]
    when {
        !isSecret(call.bearerKey(), secret) -> responder.respond(UNAUTHORIZED, newHeaders(), ByteArray(0))
        handler == null -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        else -> handler(call, responder)
    }
}
