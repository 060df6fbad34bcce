package figdeck.traffic

import figdeck.daemon.command.Services
import figdeck.daemon.query.isCurrent
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.platform.query.PlatformQueries
import figdeck.traffic.command.SERVICES_PREFIX
import figdeck.traffic.command.chatHandler
import figdeck.traffic.command.serviceHandler
import figdeck.traffic.query.RESULTS_PREFIX
import figdeck.traffic.query.resultHandler

/** What callers can ask of a daemon. */
internal fun callerApi(services: Services, queries: PlatformQueries): HttpHandler {
    val chat = chatHandler(services)
    val service = serviceHandler(services)
    val result = resultHandler(services.control, queries)
    return { call, responder ->
        val state = services.control.snapshot
        when {
            call.bearerKey() != null && !state.isCurrent(services.clock()) ->
                responder.refuse(Refusal.StaleConfiguration)
            state.draining -> responder.refuse(Refusal.Draining)
            call.method == "POST" && call.path == "/v1/chat/completions" -> chat(call, responder)
            call.path.startsWith(SERVICES_PREFIX) -> service(call, responder)
            call.method == "GET" && call.path.startsWith(RESULTS_PREFIX) -> result(call, responder)
            else -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        }
    }
}
