package figdeck.traffic

import figdeck.daemon.command.batch.BatchServices
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.store.query.StoreQueries
import figdeck.traffic.command.CANCEL_SUFFIX
import figdeck.traffic.command.cancelBatchHandler
import figdeck.traffic.command.submitBatchHandler
import figdeck.traffic.query.RESULTS_SUFFIX
import figdeck.traffic.query.batchHandler
import figdeck.traffic.query.batchResultsHandler

/** Returns the handler of the batch job API for callers. */
internal fun batchApi(batches: BatchServices, queries: StoreQueries): HttpHandler {
    val submit = submitBatchHandler(batches)
    val cancel = cancelBatchHandler(batches)
    val status = batchHandler(batches.services.control, queries)
    val results = batchResultsHandler(batches.services.control, queries)
    return { call, responder ->
        when {
            call.method == "POST" && call.path == "/v1/batches" -> submit(call, responder)
            call.method == "POST" && call.path.endsWith(CANCEL_SUFFIX) -> cancel(call, responder)
            call.method == "GET" && call.path.endsWith(RESULTS_SUFFIX) -> results(call, responder)
            call.method == "GET" && call.path != "/v1/batches" -> status(call, responder)
            else -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        }
    }
}
