package figdeck.traffic.command

import figdeck.daemon.command.batch.BatchServices
import figdeck.daemon.command.batch.BatchSubmission
import figdeck.daemon.command.batch.cancelBatch
import figdeck.daemon.command.batch.submitBatch
import figdeck.daemon.query.authenticateTeam
import figdeck.http.server.HttpHandler
import figdeck.traffic.bearerKey
import figdeck.traffic.json
import figdeck.traffic.query.BATCHES_PREFIX
import figdeck.traffic.refuse
import figdeck.wire.command.encodeAcceptedBatch
import figdeck.wire.query.encodeBatchStatus

private const val ACCEPTED = 202
private const val IDEMPOTENCY_HEADER = "Idempotency-Key"

/** The path suffix of the request that cancels a batch job. */
internal const val CANCEL_SUFFIX = "/cancel"

/** Handles `POST /v1/batches`. */
internal fun submitBatchHandler(batches: BatchServices): HttpHandler = { call, responder ->
    batches.services.authenticateTeam(call.bearerKey()).fold(
        { responder.refuse(it) },
        { team ->
            batches.submitBatch(BatchSubmission(team, call.headers.get(IDEMPOTENCY_HEADER), call.body)).fold(
                { responder.refuse(it) },
                { id -> responder.json(encodeAcceptedBatch(id), ACCEPTED) },
            )
        },
    )
}

/** Handles `POST /v1/batches/{id}/cancel`. */
internal fun cancelBatchHandler(batches: BatchServices): HttpHandler = { call, responder ->
    val id = call.path.removePrefix(BATCHES_PREFIX).removeSuffix(CANCEL_SUFFIX)
    batches.services.authenticateTeam(call.bearerKey()).fold(
        { responder.refuse(it) },
        { team ->
            batches.cancelBatch(team.id, id).fold({ responder.refuse(it) }, { responder.json(encodeBatchStatus(it)) })
        },
    )
}
