package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.journal.EntryResult
import figdeck.command.journal.JournalEntry
import figdeck.command.journal.submitAcceptance
import figdeck.command.journal.submitProgress
import figdeck.command.journal.withdraw
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.changeJournal
import figdeck.model.CallResult
import figdeck.model.Intent
import figdeck.model.Refusal
import figdeck.model.RequestRecord
import figdeck.model.RowCheck
import figdeck.store.Store
import figdeck.wire.decodeIdempotencyRecord
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

/** How long an entry may wait in the queue, unsent, before its request is refused. */
private val QUEUE_TIMEOUT = 2.seconds

/** How long a caller waits until its outcome is durable. After that it receives the answer although it is not. */
private val FINISH_TIMEOUT = 2.seconds
private val RETRY_AFTER = 1.seconds

/** Creates a journal that writes its entries in groups. */
internal fun groupJournal(control: Control<ControlState>, platform: Store, groups: GroupCommit): Journal {
    val writes = GroupJournalWriter(control, platform, groups)
    return Journal(writes::accept, writes::recordIntent, writes::finish, writes::finishRecovered)
}

private class GroupJournalWriter(
    private val control: Control<ControlState>,
    private val platform: Store,
    private val groups: GroupCommit,
) {
    suspend fun accept(record: RequestRecord): Acceptance {
        val entry = acceptanceEntry(groups.nextNumber(), record)
        val submission = groups.submit<Either<Refusal, Unit>>(entry, { it.isRight() }, ::submitAcceptance)
        return submission.result.fold(
            { Acceptance.Refused(it) },
            { acceptance(record, awaitOutcome(entry, submission.outcome)) },
        )
    }

    suspend fun recordIntent(record: RequestRecord, intent: Intent): Either<Refusal, Unit> {
        val entry = intentEntry(groups.nextNumber(), record, intent)
        return when (awaitOutcome(entry, submit(entry))) {
            EntryResult.Durable -> Unit.right()
            null -> Refusal.StoreUnavailable(RETRY_AFTER).left()
            is EntryResult.Conflicted, EntryResult.Fenced, EntryResult.FencedInDoubt ->
                Refusal.TakenOver(record.id).left()
        }
    }

    suspend fun finish(record: RequestRecord): FinishResult {
        val outcome = submit(outcomeEntry(groups.nextNumber(), record, record.epoch, emptyList()))
        return withTimeoutOrNull(FINISH_TIMEOUT) { finishResult(outcome.await()) } ?: FinishResult.QUEUED
    }

    suspend fun finishRecovered(record: RequestRecord, fence: RowCheck): FinishResult {
        val writer = control.snapshot.journal.writer ?: return FinishResult.TAKEN_OVER
        val outcome = submit(outcomeEntry(groups.nextNumber(), record, writer.fence.epoch, listOf(fence)))
        return finishResult(outcome.await())
    }

    private suspend fun submit(entry: JournalEntry): Deferred<EntryResult> {
        val submission = groups.submit<Boolean>(entry, { it }, ::submitProgress)
        return if (submission.result) submission.outcome else CompletableDeferred(EntryResult.Fenced)
    }

    private fun finishResult(outcome: EntryResult): FinishResult =
        if (outcome == EntryResult.Durable) FinishResult.KEPT else FinishResult.TAKEN_OVER

    /** Returns the outcome of [entry], or null if it was withdrawn after a timeout and will never be written. */
    private suspend fun awaitOutcome(entry: JournalEntry, outcome: Deferred<EntryResult>): EntryResult? =
        withTimeoutOrNull(QUEUE_TIMEOUT) { outcome.await() }
            ?: if (withdrawEntry(entry)) null else awaitOutcome(entry, outcome)

    private suspend fun withdrawEntry(entry: JournalEntry): Boolean =
        control.run { state, _ -> changeJournal(state) { withdraw(it, entry.number) } }

    private suspend fun acceptance(record: RequestRecord, outcome: EntryResult?): Acceptance = when (outcome) {
        EntryResult.Durable -> Acceptance.Accepted
        null, EntryResult.Fenced -> Acceptance.Refused(Refusal.StoreUnavailable(RETRY_AFTER))
        EntryResult.FencedInDoubt -> Acceptance.Refused(Refusal.InDoubt(record.id))
        is EntryResult.Conflicted -> resolveResend(record, outcome)
    }

    private suspend fun resolveResend(record: RequestRecord, outcome: EntryResult.Conflicted): Acceptance {
        val row = platform.queries.readRow(outcome.keys.first())
        val first = (row as? CallResult.Done)?.value?.value?.let { decodeIdempotencyRecord(it.value) }
        return when {
            first == null -> Acceptance.Refused(Refusal.StoreUnavailable(RETRY_AFTER))
            first.requestDigest != record.idempotencyKey?.requestDigest -> Acceptance.Refused(
                Refusal.IdempotencyKeyReused(record.idempotencyKey?.key.orEmpty()),
            )
            else -> Acceptance.Resent(first.id)
        }
    }
}
