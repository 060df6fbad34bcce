package figdeck.command.journal

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.Step
import figdeck.model.Refusal
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration.Companion.seconds

private const val MAX_PENDING_ENTRIES = 4096
private const val MAX_PENDING_SIZE = 16L * 1024 * 1024
private val RETRY_AFTER = 1.seconds

/** Queues the acceptance of a request, or refuses it if the queue is full or this daemon can't write the journal. */
public fun submitAcceptance(state: JournalState, entry: JournalEntry): Step<JournalState, Either<Refusal, Unit>> {
    val full = state.pending.size >= MAX_PENDING_ENTRIES || state.pendingSize + entry.size > MAX_PENDING_SIZE
    return if (full || state.writer?.fence?.epoch != entry.epoch) {
        Step(state, Refusal.StoreUnavailable(RETRY_AFTER).left())
    } else {
        Step(state.enqueue(entry), Unit.right())
    }
}

/**
 * Queues an entry that follows an acceptance; false if the ownership of the journal has been lost since.
 *
 * It has no bound of its own: no more requests can be open than were accepted before the table failed.
 */
public fun submitProgress(state: JournalState, entry: JournalEntry): Step<JournalState, Boolean> =
    if (state.writer?.fence?.epoch == entry.epoch) Step(state.enqueue(entry), true) else Step(state, false)

/** Removes the entry [number] from the queue; false if it has been sent and may have been written. */
public fun withdraw(state: JournalState, number: Long): Step<JournalState, Boolean> {
    val entry = state.pending.find { it.number == number } ?: return Step(state, false)
    val left = state.pending.filterNot { it.number == number }.toPersistentList()
    return Step(state.copy(pending = left, pendingSize = state.pendingSize - entry.size), true)
}

private fun JournalState.enqueue(entry: JournalEntry) =
    copy(pending = pending.add(entry), pendingSize = pendingSize + entry.size)
