package figdeck.traffic

import figdeck.daemon.command.Services
import figdeck.daemon.command.batch.BatchServices
import figdeck.daemon.query.isCurrent
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.store.query.StoreQueries
import figdeck.traffic.command.SERVICES_PREFIX
import figdeck.traffic.command.chatHandler
import figdeck.traffic.command.serviceHandler
import figdeck.traffic.query.BATCHES_PREFIX
import figdeck.traffic.query.RESULTS_PREFIX
import figdeck.traffic.query.healthHandler
import figdeck.traffic.query.resultHandler

/** Returns the handler of the caller API, which refuses calls with a key while the configuration is not current. */
internal fun callerApi(services: Services, batches: BatchServices, queries: StoreQueries): HttpHandler {
    val batch = batchApi(batches, queries)
    val chat = chatHandler(services)
    val service = serviceHandler(services)
    val result = resultHandler(services.control, services.records)
    val health = healthHandler(services.control, services.clock)
    return { call, responder ->
        when {
            call.method == "GET" && call.path == "/v1/health" -> health(call, responder)
            call.bearerKey() != null && !services.control.snapshot.isCurrent(services.clock()) ->
                responder.refuse(Refusal.StaleConfiguration)
            call.method == "POST" && call.path == "/v1/chat/completions" -> chat(call, responder)
            call.path.startsWith(SERVICES_PREFIX) -> service(call, responder)
            call.method == "GET" && call.path.startsWith(RESULTS_PREFIX) -> result(call, responder)
            call.path == "/v1/batches" || call.path.startsWith(BATCHES_PREFIX) -> batch(call, responder)
            else -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        }
    }
}
