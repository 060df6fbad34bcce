package figdeck.command.journal

import figdeck.command.Step
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Moment
import figdeck.model.Row
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAX_DOUBLINGS = 6
private val MAX_BACK_OFF = 1.seconds

/** The next state of the journal, and the entries that were settled. */
public typealias SettleStep = Step<JournalState, List<SettledEntry>>

/** Settles the group in flight by the [reply] to its commit, unless the reply leaves the outcome unknown. */
public fun settleCommit(state: JournalState, reply: CallResult<CommitReply>, now: Moment): SettleStep {
    val group = state.inFlight ?: return Step(state, emptyList())
    return when (reply) {
        is CallResult.Done -> when (val decided = reply.value) {
            is CommitReply.Committed -> settledAsDurable(state, group, decided.version)
            is CommitReply.Conflict -> settleConflict(state, group, decided.keys.toSet())
        }
        is CallResult.NotDone, is CallResult.Refused -> Step(
            if (group.inDoubt) state.backedOff(now) else requeuedAfterFailure(state, group, now),
            emptyList()
        )
        is CallResult.Unknown -> Step(state.backedOff(now).copy(inFlight = group.copy(inDoubt = true)), emptyList())
    }
}

/** Settles the group in flight by the marker row in [reply]. */
public fun settleMarker(state: JournalState, reply: CallResult<Row?>, now: Moment): SettleStep {
    val group = state.inFlight ?: return Step(state, emptyList())
    return when (reply) {
        is CallResult.Done -> {
            val row = reply.value
            if (row?.value == group.tag) settledAsDurable(state, group, row.version) else settledAsFenced(state, group)
        }
        is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown -> Step(state.backedOff(now), emptyList())
    }
}

/** The state after a call to the table failed at [now]: backs off exponentially. */
public fun JournalState.backedOff(now: Moment): JournalState {
    val failed = failures + 1
    return copy(failures = failed, notBefore = now + backOff(interval, failed))
}

private fun backOff(interval: Duration, failures: Int): Duration =
    (interval * (1 shl minOf(failures, MAX_DOUBLINGS))).coerceAtMost(MAX_BACK_OFF)

private fun settledAsDurable(state: JournalState, group: Group, version: Long): SettleStep {
    val writer = state.writer?.let { it.copy(marker = it.marker.copy(version = version)) }
    val next = state.copy(
        writer = writer,
        inFlight = null,
        notBefore = group.startedAt + state.interval,
        failures = 0,
    )
    return Step(next, group.entries.map { SettledEntry(it.number, EntryResult.Durable) })
}

private fun settleConflict(state: JournalState, group: Group, keys: Set<String>): SettleStep {
    val writer = state.writer
    return when {
        writer == null || writer.fence.check.key in keys -> settledAsFenced(state, group)
        writer.marker.key in keys -> Step(state.copy(inFlight = group.copy(superseded = true)), emptyList())
        else -> settledWithConflicts(state, group, keys)
    }
}

/** Only the entries whose checks failed are settled as conflicted; the others go into the next group. */
private fun settledWithConflicts(state: JournalState, group: Group, keys: Set<String>): SettleStep {
    val (failed, others) = group.entries.partition { entry -> entry.checks.any { it.key in keys } }
    val settled = failed.map { entry ->
        SettledEntry(entry.number, EntryResult.Conflicted(entry.checks.map { it.key }.filter { it in keys }))
    }
    return Step(state.requeue(others).copy(notBefore = null, failures = 0), settled)
}

private fun requeuedAfterFailure(state: JournalState, group: Group, now: Moment): JournalState =
    state.backedOff(now).requeue(group.entries)

private fun JournalState.requeue(entries: List<JournalEntry>) = copy(
    inFlight = null,
    pending = (entries + pending).toPersistentList(),
    pendingSize = pendingSize + entries.sumOf { it.size },
)

private fun settledAsFenced(state: JournalState, group: Group): SettleStep {
    val doubtful = group.inDoubt || group.superseded
    val groupResult = if (doubtful) EntryResult.FencedInDoubt else EntryResult.Fenced
    val settled = group.entries.map { SettledEntry(it.number, groupResult) } +
        state.pending.map { SettledEntry(it.number, EntryResult.Fenced) }
    val next = state.copy(
        writer = null,
        inFlight = null,
        pending = persistentListOf(),
        pendingSize = 0,
        notBefore = null,
    )
    return Step(next, settled)
}
