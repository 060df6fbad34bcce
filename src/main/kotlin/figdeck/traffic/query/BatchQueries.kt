package figdeck.traffic.query

import arrow.core.Either
import arrow.core.flatMap
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.daemon.query.JobProgress
import figdeck.daemon.query.findBatch
import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.query.statusOf
import figdeck.query.teamOf
import figdeck.store.query.StoreQueries
import figdeck.traffic.STATUS_OK
import figdeck.traffic.bearerKey
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.query.encodeBatchStatus
import io.netty.handler.codec.http.HttpHeaderNames
import java.io.IOException

/** The path prefix of the batch jobs. */
internal const val BATCHES_PREFIX = "/v1/batches/"

/** The path suffix of the results of a batch job. */
internal const val RESULTS_SUFFIX = "/results"
private const val JSON_LINES = "application/jsonl"
private const val MAX_READ_ATTEMPTS = 3
private const val STATE_HEADER = "X-Batch-State"

/** Handles `GET /v1/batches/{id}`. */
internal fun batchHandler(control: Control<ControlState>, queries: StoreQueries): HttpHandler = { call, responder ->
    findJob(control, queries, call, "").fold(
        { responder.refuse(it) },
        { responder.json(encodeBatchStatus(statusOf(it.stored.job, it.segments))) },
    )
}

/** Handles `GET /v1/batches/{id}/results`: streams the durable results, one per line, in item order. */
internal fun batchResultsHandler(control: Control<ControlState>, queries: StoreQueries): HttpHandler =
    { call, responder ->
        findJob(control, queries, call, RESULTS_SUFFIX).fold(
            { responder.refuse(it) },
            { progress -> responder.streamResults(progress, queries) },
        )
    }

private suspend fun HttpResponder.streamResults(progress: JobProgress, queries: StoreQueries) {
    val state = statusOf(progress.stored.job, progress.segments).state
    val headers = newHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, JSON_LINES)
        .set(STATE_HEADER, state.name.lowercase())
    start(STATUS_OK, headers)
    for (group in progress.segments.flatMap { it.groups }) {
        write(readWithRetries(queries, group.objectKey))
    }
}

/**
 * Reads an object that must exist, with [MAX_READ_ATTEMPTS] attempts. A failure aborts the response, so that the caller
 * does not mistake a partial result for a complete one.
 */
private suspend fun readWithRetries(queries: StoreQueries, key: String): ByteArray {
    repeat(MAX_READ_ATTEMPTS) {
        val read = queries.readObject(key)
        if (read is CallResult.Done) {
            return read.value.value ?: throw IOException("object '$key' is missing: it has been cleared")
        }
    }
    throw IOException("object '$key' can't be read: ask for the results again")
}

private suspend fun findJob(
    control: Control<ControlState>,
    queries: StoreQueries,
    call: HttpCall,
    suffix: String,
): Either<Refusal, JobProgress> {
    val id = call.path.removePrefix(BATCHES_PREFIX).removeSuffix(suffix)
    return control.snapshot.index.teamOf(call.bearerKey()).flatMap { queries.findBatch(it.id, id) }
}
