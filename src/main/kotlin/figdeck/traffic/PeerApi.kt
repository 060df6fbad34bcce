package figdeck.traffic

import figdeck.daemon.command.PEER_CONFIGURATION_PATH
import figdeck.daemon.query.Following
import figdeck.http.newHeaders
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.traffic.command.peerConfigurationHandler

private const val UNAUTHORIZED = 401

/** What daemons ask of each other, with the [secret] as bearer key. */
internal fun peerApi(secret: String, following: Following): HttpHandler {
    val configuration = peerConfigurationHandler(following)
    return { call, responder ->
        when {
            !matches(call.bearerKey(), secret) -> responder.full(UNAUTHORIZED, newHeaders(), ByteArray(0))
            call.path == PEER_CONFIGURATION_PATH -> configuration(call, responder)
            else -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        }
    }
}
