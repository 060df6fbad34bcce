package figdeck.traffic.query

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.daemon.command.requestKey
import figdeck.http.server.HttpHandler
import figdeck.model.CallResult
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.platform.query.PlatformQueries
import figdeck.query.teamOf
import figdeck.traffic.bearerKey
import figdeck.traffic.jsonHeaders
import figdeck.traffic.refuse
import figdeck.wire.decodeRecord
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration.Companion.seconds

/** The path below which results stand. */
internal const val RESULTS_PREFIX = "/v1/results/"

/** Handles `GET /v1/results/{requestId}`. */
internal fun resultHandler(control: Control<ControlState>, queries: PlatformQueries): HttpHandler = { call, responder ->
    val id = call.path.removePrefix(RESULTS_PREFIX)
    findRecord(control, queries, id, call.bearerKey()).fold(
        { responder.refuse(it) },
        { record ->
            when (val outcome = record.outcome) {
                null -> responder.refuse(Refusal.StillRunning(record.id))
                is Outcome.Failed -> responder.refuse(outcome.refusal)
                is Outcome.Completed -> {
                    val headers = jsonHeaders(record.id).set(HttpHeaderNames.CONTENT_TYPE, outcome.contentType)
                    responder.full(outcome.status, headers, outcome.body.encodeToByteArray())
                }
            }
        },
    )
}

private suspend fun findRecord(
    control: Control<ControlState>,
    queries: PlatformQueries,
    id: String,
    key: String?,
): Either<Refusal, RequestRecord> = either {
    val team = control.snapshot.index.teamOf(key).bind()
    val requestId = runCatching { RequestId(id) }.getOrNull()
    ensure(requestId != null) { Refusal.NotFound("request '$id'") }
    val reply = queries.readRow(requestKey(requestId))
    ensure(reply is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    val record = reply.value.value?.let { decodeRecord(it.value) }
    ensure(record != null && record.team == team.id) { Refusal.NotFound("request '$id'") }
    record
}
