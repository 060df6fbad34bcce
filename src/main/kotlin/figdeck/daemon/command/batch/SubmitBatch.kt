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

/**
 * Accepts a job once its items and its row are durable, and returns its id. For a resend, returns the id of the job
 * that was accepted first.
 */
internal suspend fun BatchServices.submitBatch(submission: BatchSubmission): Either<Refusal, BatchId> = either {
    val id = BatchId(services.newRequestId().value)
    val retained = RetainedJob(id, submission.team.id, services.clock().epochMillis)
    writeWithRetry(listOf(RowWrite(retainedJobKey(id), encodeRetainedJob(retained)))).bind()
    val upload = storeItems(id, submission.body).bind()
    val job = newJob(id, submission, upload)
    val first = findFirstJob(job.idempotencyRowKey).bind()
    if (first == null) {
        acceptUpload(job, submission, upload).bind()
    } else {
        resolveResend(first, submission.idempotencyKey, upload.digest).bind()
    }
}

private suspend fun BatchServices.acceptUpload(
    job: BatchJob,
    submission: BatchSubmission,
    upload: Upload,
): Either<Refusal, BatchId> = either {
    storeSegments(job.id, submission.team.id, upload).bind()
    when (commitAcceptance(job)) {
        is CommitOutcome.Committed -> job.id
        CommitOutcome.NotDone -> raise(Refusal.StoreUnavailable(1.seconds))
        CommitOutcome.Unknown -> raise(Refusal.Unconfirmed(1.seconds))
        CommitOutcome.Conflicted -> {
            val first = findFirstJob(job.idempotencyRowKey).bind()
            ensure(first != null) { Refusal.StoreUnavailable(1.seconds) }
            resolveResend(first, submission.idempotencyKey, upload.digest).bind()
        }
    }
}

private fun BatchServices.newJob(id: BatchId, submission: BatchSubmission, upload: Upload): BatchJob {
    val uploadId = submission.idempotencyKey?.let { "key/${hashKey(it)}" } ?: "digest/${upload.digest}"
    val snapshot = services.control.snapshot
    return BatchJob(
        id = id,
        team = submission.team.id,
        digest = upload.digest,
        idempotencyRowKey = resendKey(submission.team.id, uploadId),
        host = snapshot.host,
        revision = snapshot.configuration.revision,
        acceptedAtMillis = services.clock().epochMillis,
        segments = upload.segmentItems.size,
        items = upload.segmentItems.sum(),
        storedState = StoredJobState.ACCEPTED,
        endedAtMillis = null,
    )
}

private suspend fun BatchServices.commitAcceptance(job: BatchJob): CommitOutcome {
    val transaction = TableTransaction(
        listOf(RowCheck(jobKey(job.id), ABSENT), RowCheck(job.idempotencyRowKey, ABSENT)),
        listOf(RowWrite(jobKey(job.id), encodeJob(job)), RowWrite(job.idempotencyRowKey, job.id.value)),
    )
    return commitOnce(transaction, untilStoreTimeout()) {
        platform.queries.readJob(job.id).map { Lookup(it.value?.version) }
    }
}

private suspend fun BatchServices.findFirstJob(resendKey: String): Either<Refusal, FirstJob?> = either {
    val row = retryWhile(untilStoreTimeout()) { platform.queries.readRow(resendKey) }
    ensure(row is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    val id = row.value.value?.let { BatchId(it.value) } ?: return@either null
    val job = retryWhile(untilStoreTimeout()) { platform.queries.readJob(id) }
    ensure(job is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    job.value.value?.let { FirstJob(id, it.job.digest) }
}
