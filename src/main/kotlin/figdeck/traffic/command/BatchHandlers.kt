package figdeck.traffic.command

import figdeck.daemon.command.batch.BatchOrder
import figdeck.daemon.command.batch.BatchServices
import figdeck.daemon.command.batch.cancelBatch
import figdeck.daemon.command.batch.submitBatch
import figdeck.daemon.query.teamInForce
import figdeck.http.server.HttpHandler
import figdeck.traffic.bearerKey
import figdeck.traffic.json
import figdeck.traffic.query.BATCHES_PREFIX
import figdeck.traffic.refuse
import figdeck.wire.command.encodeAcceptedBatch
import figdeck.wire.query.encodeBatchStatus

private const val ACCEPTED = 202
private const val IDEMPOTENCY_KEY = "Idempotency-Key"

/** The end of the path that cancels a job. */
internal const val CANCEL_SUFFIX = "/cancel"

/** Handles `POST /v1/batches`. */
internal fun submitHandler(batches: BatchServices): HttpHandler = { call, responder ->
    batches.services.teamInForce(call.bearerKey()).fold(
        { responder.refuse(it) },
        { team ->
            batches.submitBatch(BatchOrder(team, call.headers.get(IDEMPOTENCY_KEY), call.body)).fold(
                { responder.refuse(it) },
                { id -> responder.json(encodeAcceptedBatch(id), ACCEPTED) },
            )
        },
    )
}

/** Handles `POST /v1/batches/{id}/cancel`. */
internal fun cancelHandler(batches: BatchServices): HttpHandler = { call, responder ->
    val id = call.path.removePrefix(BATCHES_PREFIX).removeSuffix(CANCEL_SUFFIX)
    batches.services.teamInForce(call.bearerKey()).fold(
        { responder.refuse(it) },
        { team ->
            batches.cancelBatch(team.id, id).fold({ responder.refuse(it) }, { responder.json(encodeBatchStatus(it)) })
        },
    )
}
