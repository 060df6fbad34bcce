package figdeck.traffic.query

import arrow.core.Either
import arrow.core.flatMap
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.daemon.query.JobCourse
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

/** The path below which jobs stand. */
internal const val BATCHES_PREFIX = "/v1/batches/"

/** The end of the path of a job's results. */
internal const val RESULTS_SUFFIX = "/results"
private const val JSON_LINES = "application/jsonl"
private const val READS = 3
private const val STATE_HEADER = "X-Batch-State"

/** Handles `GET /v1/batches/{id}`. */
internal fun batchHandler(control: Control<ControlState>, queries: StoreQueries): HttpHandler = { call, responder ->
    find(control, queries, call, "").fold(
        { responder.refuse(it) },
        { responder.json(encodeBatchStatus(statusOf(it.stored.job, it.segments))) },
    )
}

/** Handles `GET /v1/batches/{id}/results`: the results that are durable, a line each, in item order. */
internal fun batchResultsHandler(control: Control<ControlState>, queries: StoreQueries): HttpHandler =
    { call, responder ->
        find(control, queries, call, RESULTS_SUFFIX).fold(
            { responder.refuse(it) },
            { course -> responder.stream(course, queries) },
        )
    }

private suspend fun HttpResponder.stream(course: JobCourse, queries: StoreQueries) {
    val state = statusOf(course.stored.job, course.segments).state
    val headers = newHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, JSON_LINES)
        .set(STATE_HEADER, state.name.lowercase())
    start(STATUS_OK, headers)
    for (group in course.segments.flatMap { it.groups }) {
        write(readPatiently(queries, group.objectKey))
    }
}

/** Reads an object that must be there; a failure cuts the response, so that a caller never takes a part for all. */
private suspend fun readPatiently(queries: StoreQueries, key: String): ByteArray {
    repeat(READS) {
        val read = queries.readObject(key)
        if (read is CallResult.Done) {
            return read.value.value ?: throw IOException("object '$key' is missing: it has been cleared")
        }
    }
    throw IOException("object '$key' can't be read: ask for the results again")
}

private suspend fun find(
    control: Control<ControlState>,
    queries: StoreQueries,
    call: HttpCall,
    suffix: String,
): Either<Refusal, JobCourse> {
    val id = call.path.removePrefix(BATCHES_PREFIX).removeSuffix(suffix)
    return control.snapshot.index.teamOf(call.bearerKey()).flatMap { queries.findBatch(it.id, id) }
}
