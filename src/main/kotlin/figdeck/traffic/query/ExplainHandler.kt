package figdeck.traffic.query

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.daemon.query.RequestRecords
import figdeck.http.server.HttpHandler
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.query.Explanation
import figdeck.query.explain
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.query.encodeExplanation
import kotlin.time.Duration.Companion.seconds

/** The path prefix of the explanations of requests. */
internal const val EXPLAIN_PREFIX = "/v1/explain/"

/** Handles `GET /v1/explain/{requestId}`. */
internal fun explainHandler(records: RequestRecords): HttpHandler = { call, responder ->
    findExplanation(records, call.path.removePrefix(EXPLAIN_PREFIX)).fold(
        { responder.refuse(it) },
        { responder.json(encodeExplanation(it), requestId = it.record.id) },
    )
}

private suspend fun findExplanation(records: RequestRecords, id: String): Either<Refusal, Explanation> = either {
    val requestId = runCatching { RequestId(id) }.getOrNull()
    ensure(requestId != null) { Refusal.NotFound("request '$id'") }
    val found = records.find(requestId)
    ensure(found is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    val record = found.value.value
    ensure(record != null) { Refusal.NotFound("request '$id'") }
    val open = records.findOpenRequest(record.host, requestId)
    ensure(open is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    explain(record, open.value.value)
}
