package figdeck.daemon.command

import figdeck.command.Step
import figdeck.command.journal.EntryResult
import figdeck.command.journal.JournalAction
import figdeck.command.journal.JournalEntry
import figdeck.command.journal.JournalState
import figdeck.command.journal.SettleStep
import figdeck.command.journal.nextAction
import figdeck.command.journal.settleCommit
import figdeck.command.journal.settleMarker
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.changeJournal
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Moment
import figdeck.model.TableTransaction
import figdeck.model.map
import figdeck.store.Store
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes the entries of a daemon's journal in groups. Each group is one transaction, and one is in flight at a time.
 */
internal class GroupCommit(
    private val control: Control<ControlState>,
    private val platform: Store,
) {
    private val outcomes = ConcurrentHashMap<Long, CompletableDeferred<EntryResult>>()
    private val entryQueued = Channel<Unit>(Channel.CONFLATED)
    private val lastNumber = AtomicLong()

    /** Returns a number that no other entry has. */
    fun nextNumber(): Long = lastNumber.incrementAndGet()

    /**
     * Queues [entry] by [submit] and returns the result of [submit] with the deferred outcome of the entry. The outcome
     * never completes if [submit] did not queue the entry, as [isQueued] tells from its result.
     */
    suspend fun <R> submit(
        entry: JournalEntry,
        isQueued: (R) -> Boolean,
        submit: (JournalState, JournalEntry) -> Step<JournalState, R>,
    ): Submission<R> {
        val outcome = CompletableDeferred<EntryResult>()
        outcomes[entry.number] = outcome
        val result = control.run { state, _ -> changeJournal(state) { submit(it, entry) } }
        if (isQueued(result)) {
            entryQueued.trySend(Unit)
        } else {
            outcomes.remove(entry.number)
        }
        return Submission(result, outcome)
    }

    /** Writes groups until cancelled. Calls [claim] to claim the journal whenever this daemon does not own it. */
    suspend fun run(claim: suspend () -> Unit) {
        while (true) {
            when (val order = control.run { state, now -> changeJournal(state) { nextAction(it, now) } }) {
                JournalAction.Claim -> claim()
                JournalAction.AwaitEntry -> entryQueued.receive()
                is JournalAction.Pause -> delay(order.duration)
                is JournalAction.Commit -> commit(order.transaction)
                is JournalAction.ReadMarker -> readMarker(order.key)
            }
        }
    }

    private suspend fun commit(transaction: TableTransaction) {
        val reply: CallResult<CommitReply> = try {
            platform.commands.commit(transaction)
        } catch (e: IllegalArgumentException) {
            CallResult.Unknown("cannot decode the reply: ${e.message}")
        }
        settle { state, now -> settleCommit(state, reply, now) }
    }

    private suspend fun readMarker(key: String) {
        val reply = platform.queries.readRow(key).map { it.value }
        settle { state, now -> settleMarker(state, reply, now) }
    }

    private suspend fun settle(decide: (JournalState, Moment) -> SettleStep) {
        val settled = control.run { state, now -> changeJournal(state) { decide(it, now) } }
        settled.forEach { outcomes.remove(it.number)?.complete(it.result) }
    }
}

/** The [result] of queueing an entry and the deferred [outcome] of writing it. */
internal data class Submission<R>(
    val result: R,
    val outcome: Deferred<EntryResult>,
)
