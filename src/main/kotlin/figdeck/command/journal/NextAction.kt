package figdeck.command.journal

import figdeck.command.Step
import figdeck.model.Moment
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration

private const val MAX_GROUP_ROWS = 96
private const val MAX_GROUP_SIZE = 1024 * 1024

/** Decides what the writer does at [now]; a group is resent unchanged until it is settled. */
public fun nextAction(state: JournalState, now: Moment): Step<JournalState, JournalAction> {
    val pause = state.notBefore?.let { it - now } ?: Duration.ZERO
    val writer = state.writer
    val group = state.inFlight
    return when {
        pause > Duration.ZERO && (writer == null || group != null || state.pending.isNotEmpty()) ->
            Step(state, JournalAction.Pause(pause))
        writer == null -> Step(state, JournalAction.Claim)
        group != null && group.superseded -> Step(state, JournalAction.ReadMarker(writer.marker.key))
        group != null -> Step(state, JournalAction.Commit(group.transaction))
        state.pending.isEmpty() -> Step(state, JournalAction.AwaitEntry)
        else -> formGroup(state, writer, now)
    }
}

private fun formGroup(state: JournalState, writer: JournalWriter, now: Moment): Step<JournalState, JournalAction> {
    val entries = selectEntries(state.pending)
    val left = state.pending - entries.toSet()
    val tag = "${writer.fence.epoch}.${writer.groups + 1}"
    val group = Group(tag, entries, transactionOf(writer, tag, entries), now, inDoubt = false, superseded = false)
    val next = state.copy(
        writer = writer.copy(groups = writer.groups + 1),
        pending = left.toPersistentList(),
        pendingSize = state.pendingSize - entries.sumOf { it.size },
        inFlight = group,
    )
    return Step(next, JournalAction.Commit(group.transaction))
}

/** Selects the first entries that fit; of several entries that write the same row, only the first is selected. */
private fun selectEntries(pending: List<JournalEntry>): List<JournalEntry> {
    val chosen = mutableListOf<JournalEntry>()
    val written = mutableSetOf<String>()
    var rows = 0
    var size = 0
    for (entry in pending) {
        val fits = rows + entry.rowCount <= MAX_GROUP_ROWS && size + entry.size <= MAX_GROUP_SIZE
        if (chosen.isNotEmpty() && !fits) {
            break
        }
        if (entry.writes.none { it.key in written }) {
            chosen += entry
            rows += entry.rowCount
            size += entry.size
        }
        written += entry.writes.map { it.key }
    }
    return chosen
}

private fun transactionOf(writer: JournalWriter, tag: String, entries: List<JournalEntry>) = TableTransaction(
    checks = listOf(writer.fence.check, writer.marker) + entries.flatMap { it.checks }.distinct(),
    writes = listOf(RowWrite(writer.marker.key, tag)) + entries.flatMap { it.writes },
)
