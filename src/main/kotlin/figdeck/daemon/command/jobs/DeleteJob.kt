package figdeck.daemon.command.jobs

import figdeck.command.serving.VersionedJob
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.store.Store
import figdeck.store.command.MAX_TRANSACTION_ENTRIES
import figdeck.wire.serving.itemKeys
import figdeck.wire.serving.itemObjectKey
import figdeck.wire.serving.jobRecordKey
import figdeck.wire.serving.progressKeyPrefix
import figdeck.wire.serving.resultKeyPrefix

/** Rows of results may be large, and only their keys are needed. */
private const val CHILD_PAGE_ROWS = 20

/** How many rows a transaction removes: one entry of it is the check of the record. */
private const val MAX_REMOVALS = MAX_TRANSACTION_ENTRIES - 1

/** How the deletion of a job ended. */
internal enum class DeletionOutcome {
    /** Nothing of the job is left. */
    DONE,

    /** The record has changed or is gone, so another host deletes the job or it isn't to be deleted. */
    SUPERSEDED,

    /** The store did not answer, or can't now. A part of the job may be left, with its record. */
    INTERRUPTED,
}

/**
 * What came of deleting a job.
 *
 * @property calls the number of calls to the store.
 */
internal data class JobDeletion(
    val outcome: DeletionOutcome,
    val calls: Int,
)

/**
 * Deletes a closed [job] and all that is stored of it. The record goes last, so that whatever a host that is lost, or a
 * call without a reply, leaves is found again by it. Each transaction checks the version of the record, so that it has
 * no effect if it takes place late, when the id may belong to another job.
 */
internal suspend fun Store.deleteJob(job: VersionedJob): JobDeletion = JobDeleter(this, job).delete()

private class JobDeleter(private val store: Store, private val job: VersionedJob) {
    private val id = job.record.id
    private val check = RowCheck(jobRecordKey(id), job.version)
    private var removals = itemKeys(job.record)
    private var calls = 0

    suspend fun delete(): JobDeletion {
        val steps = listOf<suspend () -> DeletionOutcome>(
            { removeRowsUnder(resultKeyPrefix(id)) },
            { removeRowsUnder(progressKeyPrefix(id)) },
            { removeItemObject() },
            { removeAll() },
            { remove(listOf(check.key)) },
        )
        var outcome = DeletionOutcome.DONE
        for (step in steps) {
            if (outcome == DeletionOutcome.DONE) outcome = step()
        }
        return JobDeletion(outcome, calls)
    }

    private suspend fun removeRowsUnder(prefix: String): DeletionOutcome {
        var after: String? = prefix
        var outcome = DeletionOutcome.DONE
        while (after != null && outcome == DeletionOutcome.DONE) {
            calls++
            when (val read = store.queries.scanRows(prefix, after, CHILD_PAGE_ROWS)) {
                is CallResult.Done -> {
                    val rows = read.value
                    removals = removals + rows.map { it.key }
                    after = rows.lastOrNull()?.key?.takeIf { rows.size == CHILD_PAGE_ROWS }
                    if (removals.size >= MAX_REMOVALS) outcome = removeAll()
                }
                is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown ->
                    outcome = DeletionOutcome.INTERRUPTED
            }
        }
        return outcome
    }

    private suspend fun removeAll(): DeletionOutcome {
        var outcome = DeletionOutcome.DONE
        while (removals.isNotEmpty() && outcome == DeletionOutcome.DONE) {
            outcome = remove(removals.take(MAX_REMOVALS))
            removals = removals.drop(MAX_REMOVALS)
        }
        return outcome
    }

    private suspend fun removeItemObject(): DeletionOutcome {
        if (job.record.chunks > 0) return DeletionOutcome.DONE
        calls++
        val deleted = store.commands.deleteObject(itemObjectKey(id, job.record.itemsId))
        return if (deleted is CallResult.Done) DeletionOutcome.DONE else DeletionOutcome.INTERRUPTED
    }

    private suspend fun remove(keys: List<String>): DeletionOutcome {
        calls++
        val transaction = TableTransaction(listOf(check), keys.map { RowWrite(it, null) })
        return when (val reply = store.commands.commit(transaction)) {
            is CallResult.Done ->
                if (reply.value is CommitReply.Committed) DeletionOutcome.DONE else DeletionOutcome.SUPERSEDED
            is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown -> DeletionOutcome.INTERRUPTED
        }
    }
}
