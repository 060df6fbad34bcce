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
import figdeck.wire.decodeResentRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

/** How long an entry that has not been sent may wait before its request is refused. */
private val QUEUE_WAIT = 2.seconds

/** How long a caller waits for the record of its outcome before it gets the answer all the same. */
private val ENDING_WAIT = 2.seconds
private val RETRY_AFTER = 1.seconds

/** A journal whose entries are written in groups. */
internal fun groupJournal(control: Control<ControlState>, platform: Store, groups: GroupCommit): Journal {
    val writes = JournalWrites(control, platform, groups)
    return Journal(writes::accept, writes::intend, writes::finish, writes::finishRecovered)
}

private class JournalWrites(
    private val control: Control<ControlState>,
    private val platform: Store,
    private val groups: GroupCommit,
) {
    suspend fun accept(record: RequestRecord): Acceptance {
        val entry = acceptanceEntry(groups.nextNumber(), record)
        val submission = groups.submit<Either<Refusal, Unit>>(entry, { it.isRight() }, ::submitAcceptance)
        return submission.result.fold(
            { Acceptance.Refused(it) },
            { acceptance(record, settle(entry, submission.fate)) },
        )
    }

    suspend fun intend(record: RequestRecord, intent: Intent): Either<Refusal, Unit> {
        val entry = intentEntry(groups.nextNumber(), record, intent)
        return when (settle(entry, submit(entry))) {
            EntryResult.Durable -> Unit.right()
            null -> Refusal.StoreUnavailable(RETRY_AFTER).left()
            is EntryResult.Conflicted, EntryResult.Fenced, EntryResult.FencedInDoubt ->
                Refusal.TakenOver(record.id).left()
        }
    }

    suspend fun finish(record: RequestRecord): Ending {
        val fate = submit(endingEntry(groups.nextNumber(), record, record.epoch, emptyList()))
        return withTimeoutOrNull(ENDING_WAIT) { ending(fate.await()) } ?: Ending.QUEUED
    }

    suspend fun finishRecovered(record: RequestRecord, fence: RowCheck): Ending {
        val writer = control.snapshot.journal.writer ?: return Ending.TAKEN_OVER
        val fate = submit(endingEntry(groups.nextNumber(), record, writer.fence.epoch, listOf(fence)))
        return ending(fate.await())
    }

    private suspend fun submit(entry: JournalEntry): Deferred<EntryResult> {
        val submission = groups.submit<Boolean>(entry, { it }, ::submitProgress)
        return if (submission.result) submission.fate else CompletableDeferred(EntryResult.Fenced)
    }

    private fun ending(fate: EntryResult): Ending = if (fate == EntryResult.Durable) Ending.KEPT else Ending.TAKEN_OVER

    /** The fate of [entry], or null if it could be withdrawn after a wait, so that it never will be written. */
    private suspend fun settle(entry: JournalEntry, fate: Deferred<EntryResult>): EntryResult? =
        withTimeoutOrNull(QUEUE_WAIT) { fate.await() } ?: if (withdrawn(entry)) null else settle(entry, fate)

    private suspend fun withdrawn(entry: JournalEntry): Boolean =
        control.run { state, _ -> changeJournal(state) { withdraw(it, entry.number) } }

    private suspend fun acceptance(record: RequestRecord, fate: EntryResult?): Acceptance = when (fate) {
        EntryResult.Durable -> Acceptance.Accepted
        null, EntryResult.Fenced -> Acceptance.Refused(Refusal.StoreUnavailable(RETRY_AFTER))
        EntryResult.FencedInDoubt -> Acceptance.Refused(Refusal.InDoubt(record.id))
        is EntryResult.Conflicted -> resent(record, fate)
    }

    private suspend fun resent(record: RequestRecord, fate: EntryResult.Conflicted): Acceptance {
        val row = platform.queries.readRow(fate.keys.first())
        val first = (row as? CallResult.Done)?.value?.value?.let { decodeResentRequest(it.value) }
        return when {
            first == null -> Acceptance.Refused(Refusal.StoreUnavailable(RETRY_AFTER))
            first.requestDigest != record.idempotencyKey?.requestDigest -> Acceptance.Refused(
                Refusal.IdempotencyKeyReused(record.idempotencyKey?.key.orEmpty()),
            )
            else -> Acceptance.Resent(first.id)
        }
    }
}
