package figdeck.daemon.command.batch

import figdeck.command.batch.CANCELS_PREFIX
import figdeck.command.batch.RETAINED_JOBS_PREFIX
import figdeck.command.batch.RetentionAction
import figdeck.command.batch.cleanupShard
import figdeck.command.batch.jobKey
import figdeck.command.batch.noJobCheck
import figdeck.command.batch.retainedJobsPrefix
import figdeck.command.batch.retentionActionOf
import figdeck.command.batch.retentionOf
import figdeck.daemon.query.readJob
import figdeck.daemon.query.readOwned
import figdeck.model.BatchId
import figdeck.model.BatchJob
import figdeck.model.CallResult
import figdeck.model.RetainedJob
import figdeck.model.RowWrite
import figdeck.model.StoredJobState
import figdeck.model.TableTransaction
import figdeck.model.valueOrNull
import figdeck.wire.decodeRetainedJob
import figdeck.wire.encodeJob
import kotlinx.coroutines.delay

private const val MAX_CANCEL_NOTICES = 1000

/** Deletes expired batch jobs and old cancel notices in the shards of this host at intervals, until cancelled. */
internal suspend fun BatchServices.sweepBatches() {
    while (true) {
        delay(tuning.sweepInterval)
        deleteCancelNotices()
        platform.queries.readOwned(
            services.ownership,
            RETAINED_JOBS_PREFIX,
            ::retainedJobsPrefix
        ).forEach { sweepJob(decodeRetainedJob(it.value)) }
    }
}

/** Deletes notices of cancelled jobs after every host has had the time to read them. */
internal suspend fun BatchServices.deleteCancelNotices() {
    val notices = platform.queries.scanRows(CANCELS_PREFIX, CANCELS_PREFIX, MAX_CANCEL_NOTICES).valueOrNull().orEmpty()
    val ownedNotices = notices.filter { services.ownership.fenceOf(cleanupShard(BatchId(it.value))) != null }
    if (ownedNotices.isNotEmpty()) {
        delay(tuning.cancelNoticeRetention)
        writeWithRetry(ownedNotices.map { RowWrite(it.key, null) })
    }
}

/** Keeps, abandons or deletes the job of [retained], according to its age and state. */
internal suspend fun BatchServices.sweepJob(retained: RetainedJob) {
    val read = platform.queries.readJob(retained.id)
    if (read !is CallResult.Done) {
        return
    }
    val job = read.value.value?.job
    val retention = retentionOf(services.control.snapshot.configuration, retained.team)
    when (retentionActionOf(retained, job, retention, services.clock())) {
        RetentionAction.KEEP -> Unit
        RetentionAction.ABANDON -> abandon(retained)
        RetentionAction.DELETE -> job?.let { deleteBatch(it) }
    }
}

private suspend fun BatchServices.abandon(retained: RetainedJob) {
    val job = BatchJob(
        id = retained.id,
        team = retained.team,
        digest = "",
        idempotencyRowKey = "",
        host = services.control.snapshot.host,
        revision = services.control.snapshot.configuration.revision,
        acceptedAtMillis = retained.writtenAtMillis,
        segments = 0,
        items = 0,
        storedState = StoredJobState.ABANDONED,
        endedAtMillis = services.clock().epochMillis,
    )
    platform.commands.commit(
        TableTransaction(listOf(noJobCheck(retained)), listOf(RowWrite(jobKey(retained.id), encodeJob(job))))
    )
}
