package figdeck.daemon.command.batch

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.command.batch.cancelKey
import figdeck.command.batch.cancelledJob
import figdeck.command.batch.jobKey
import figdeck.daemon.query.StoredJob
import figdeck.daemon.query.findBatch
import figdeck.daemon.query.readJob
import figdeck.model.BatchStatus
import figdeck.model.Refusal
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.StoredJobState
import figdeck.model.TableTransaction
import figdeck.model.TeamId
import figdeck.model.map
import figdeck.query.statusOf
import figdeck.store.query.Lookup
import figdeck.wire.encodeJob
import kotlin.time.Duration.Companion.seconds

/**
 * Cancels the job [id] of [team] and returns its status. After this returns, no group of the job is committed, and no
 * item of it starts from two seconds later on. A job that has already ended is not changed.
 */
internal suspend fun BatchServices.cancelBatch(team: TeamId, id: String): Either<Refusal, BatchStatus> = either {
    val before = platform.queries.findBatch(team, id).bind()
    val outcome = markCancelled(before.stored)
    ensure(outcome != CommitOutcome.NotDone) { Refusal.StoreUnavailable(1.seconds) }
    ensure(outcome != CommitOutcome.Unknown) { Refusal.Unconfirmed(1.seconds) }
    val after = platform.queries.findBatch(team, id).bind()
    statusOf(after.stored.job, after.segments)
}

private suspend fun BatchServices.markCancelled(stored: StoredJob): CommitOutcome {
    val cancelled = cancelledJob(stored.job, services.clock()) ?: return CommitOutcome.Committed(stored.version)
    val id = stored.job.id
    val transaction = TableTransaction(
        listOf(RowCheck(jobKey(id), stored.version)),
        listOf(RowWrite(jobKey(id), encodeJob(cancelled)), RowWrite(cancelKey(id), id.value)),
    )
    return commitOnce(transaction, untilStoreTimeout()) {
        platform.queries.readJob(id).map { read ->
            Lookup(read.value?.takeIf { it.job.storedState == StoredJobState.CANCELLED }?.version)
        }
    }
}
