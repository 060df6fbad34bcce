package figdeck.daemon.command.batch

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.command.batch.FirstJob
import figdeck.command.batch.jobKey
import figdeck.command.batch.resendKey
import figdeck.command.batch.resolveResend
import figdeck.command.batch.retainedJobKey
import figdeck.daemon.query.readJob
import figdeck.model.ABSENT
import figdeck.model.BatchId
import figdeck.model.BatchJob
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.model.RetainedJob
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.StoredJobState
import figdeck.model.TableTransaction
import figdeck.model.hashKey
import figdeck.model.map
import figdeck.store.query.Lookup
import figdeck.wire.encodeJob
import figdeck.wire.encodeRetainedJob
import kotlin.time.Duration.Companion.seconds

/** Accepts a job once its items and its row are durable, and gives the id of it or of the job that it repeats. */
internal suspend fun BatchServices.submitBatch(order: BatchOrder): Either<Refusal, BatchId> = either {
    val id = BatchId(services.newRequestId().value)
    val kept = RetainedJob(id, order.team.id, services.clock().epochMillis)
    writePatiently(listOf(RowWrite(retainedJobKey(id), encodeRetainedJob(kept)))).bind()
    val upload = storeItems(id, order.body).bind()
    val job = newJob(id, order, upload)
    val first = firstJob(job.idempotencyRowKey).bind()
    if (first == null) {
        acceptNew(
            job,
            order,
            upload
        ).bind()
    } else {
        resolveResend(first, order.idempotencyKey, upload.digest).bind()
    }
}

private suspend fun BatchServices.acceptNew(
    job: BatchJob,
    order: BatchOrder,
    upload: Upload,
): Either<Refusal, BatchId> = either {
    storeSegments(job.id, order.team.id, upload).bind()
    when (accept(job)) {
        is Settled.Committed -> job.id
        Settled.NotDone -> raise(Refusal.StoreUnavailable(1.seconds))
        Settled.Unknown -> raise(Refusal.Unconfirmed(1.seconds))
        Settled.Refused -> {
            val first = firstJob(job.idempotencyRowKey).bind()
            ensure(first != null) { Refusal.StoreUnavailable(1.seconds) }
            resolveResend(first, order.idempotencyKey, upload.digest).bind()
        }
    }
}

private fun BatchServices.newJob(id: BatchId, order: BatchOrder, upload: Upload): BatchJob {
    val mark = order.idempotencyKey?.let { "key/${hashKey(it)}" } ?: "digest/${upload.digest}"
    val snapshot = services.control.snapshot
    return BatchJob(
        id = id,
        team = order.team.id,
        digest = upload.digest,
        idempotencyRowKey = resendKey(order.team.id, mark),
        host = snapshot.host,
        revision = snapshot.configuration.revision,
        acceptedAtMillis = services.clock().epochMillis,
        segments = upload.segmentItems.size,
        items = upload.segmentItems.sum(),
        storedState = StoredJobState.ACCEPTED,
        endedAtMillis = null,
    )
}

private suspend fun BatchServices.accept(job: BatchJob): Settled {
    val transaction = TableTransaction(
        listOf(RowCheck(jobKey(job.id), ABSENT), RowCheck(job.idempotencyRowKey, ABSENT)),
        listOf(RowWrite(jobKey(job.id), encodeJob(job)), RowWrite(job.idempotencyRowKey, job.id.value)),
    )
    return commitOnce(transaction, patience()) {
        platform.queries.readJob(job.id).map { Lookup(it.value?.version) }
    }
}

private suspend fun BatchServices.firstJob(resendKey: String): Either<Refusal, FirstJob?> = either {
    val row = retryWhile(patience()) { platform.queries.readRow(resendKey) }
    ensure(row is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    val id = row.value.value?.let { BatchId(it.value) } ?: return@either null
    val job = retryWhile(patience()) { platform.queries.readJob(id) }
    ensure(job is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    job.value.value?.let { FirstJob(id, it.job.digest) }
}
