package figdeck.traffic.query

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.daemon.query.RequestRecords
import figdeck.http.server.HttpHandler
import figdeck.model.CallResult
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.Work
import figdeck.query.teamOf
import figdeck.traffic.bearerKey
import figdeck.traffic.json
import figdeck.traffic.jsonHeaders
import figdeck.traffic.refuse
import figdeck.wire.command.CompletionMetadata
import figdeck.wire.command.encodeAnswer
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration.Companion.seconds

/** The path prefix of the results of requests. */
internal const val RESULTS_PREFIX = "/v1/results/"

/** Handles `GET /v1/results/{requestId}`. */
internal fun resultHandler(control: Control<ControlState>, records: RequestRecords): HttpHandler = { call, responder ->
    val id = call.path.removePrefix(RESULTS_PREFIX)
    findRecord(control, records, id, call.bearerKey()).fold(
        { responder.refuse(it) },
        { record ->
            when (val outcome = record.outcome) {
                null -> responder.refuse(Refusal.StillRunning(record.id))
                is Outcome.Failed -> responder.refuse(outcome.refusal)
                is Outcome.ChatAnswered -> responder.json(encodeResult(record, outcome), requestId = record.id)
                is Outcome.CallAnswered -> {
                    val headers = jsonHeaders(record.id).set(HttpHeaderNames.CONTENT_TYPE, outcome.contentType)
                    responder.respond(outcome.status, headers, outcome.body.encodeToByteArray())
                }
            }
        },
    )
}

private suspend fun findRecord(
    control: Control<ControlState>,
    records: RequestRecords,
    id: String,
    key: String?,
): Either<Refusal, RequestRecord> = either {
    val team = control.snapshot.index.teamOf(key).bind()
    val requestId = runCatching { RequestId(id) }.getOrNull()
    ensure(requestId != null) { Refusal.NotFound("request '$id'") }
    val reply = records.find(requestId)
    ensure(reply is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    val record = reply.value.value
    ensure(record != null && record.team == team.id) { Refusal.NotFound("request '$id'") }
    record
}

private fun encodeResult(record: RequestRecord, answer: Outcome.ChatAnswered): String {
    val chat =
        checkNotNull(record.work as? Work.Chat) { "request '${record.id}' is no chat turn: its record is broken" }
    val head = CompletionMetadata(record.id, chat.model, record.acceptedAtMillis)
    return encodeAnswer(head, answer.content, answer.finishReason)
}
