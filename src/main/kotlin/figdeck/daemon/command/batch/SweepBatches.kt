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

private const val MAX_NOTICES = 1000

/** Clears what batch jobs have left behind in this host's shards, until cancelled. */
internal suspend fun BatchServices.sweepBatches() {
    while (true) {
        delay(pace.sweepInterval)
        clearNotices()
        platform.queries.readOwned(
            services.ownership,
            RETAINED_JOBS_PREFIX,
            ::retainedJobsPrefix
        ).forEach { sweep(decodeRetainedJob(it.value)) }
    }
}

/** Removes the notices of cancelled jobs that every host has had the time to see. */
internal suspend fun BatchServices.clearNotices() {
    val seen = platform.queries.scanRows(CANCELS_PREFIX, CANCELS_PREFIX, MAX_NOTICES).valueOrNull().orEmpty()
    val mine = seen.filter { services.ownership.fenceOf(cleanupShard(BatchId(it.value))) != null }
    if (mine.isNotEmpty()) {
        delay(pace.noticeLife)
        writePatiently(mine.map { RowWrite(it.key, null) })
    }
}

/** Does with [kept] what its age asks for. */
internal suspend fun BatchServices.sweep(kept: RetainedJob) {
    val read = platform.queries.readJob(kept.id)
    if (read !is CallResult.Done) {
        return
    }
    val job = read.value.value?.job
    val retention = retentionOf(services.control.snapshot.configuration, kept.team)
    when (retentionActionOf(kept, job, retention, services.clock())) {
        RetentionAction.KEEP -> Unit
        RetentionAction.ABANDON -> abandon(kept)
        RetentionAction.DELETE -> job?.let { clear(it) }
    }
}

private suspend fun BatchServices.abandon(kept: RetainedJob) {
    val job = BatchJob(
        id = kept.id,
        team = kept.team,
        digest = "",
        idempotencyRowKey = "",
        host = services.control.snapshot.host,
        revision = services.control.snapshot.configuration.revision,
        acceptedAtMillis = kept.writtenAtMillis,
        segments = 0,
        items = 0,
        storedState = StoredJobState.ABANDONED,
        endedAtMillis = services.clock().epochMillis,
    )
    platform.commands.commit(
        TableTransaction(listOf(noJobCheck(kept)), listOf(RowWrite(jobKey(kept.id), encodeJob(job))))
    )
}
