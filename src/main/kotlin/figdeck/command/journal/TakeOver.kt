package figdeck.command.journal

import figdeck.model.Epoch
import figdeck.model.Fence
import figdeck.model.HostId
import figdeck.model.JournalOwner
import figdeck.model.Moment
import figdeck.model.OpenRequest
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestRecord
import figdeck.model.RowCheck
import figdeck.model.Work

/** The row whose version fences the journal of [host]. */
public fun journalKey(host: HostId): String = "journal/$host"

/** The row that each group of the journal of [host] rewrites. */
public fun markerKey(host: HostId): String = "group/$host"

/** The journal as its owner holds it after a claim that took effect at table version [version]. */
public fun claimed(state: JournalState, host: HostId, version: Long): JournalState {
    val fence = Fence(Epoch(version), RowCheck(journalKey(host), version))
    val writer = JournalWriter(fence, RowCheck(markerKey(host), version), groups = 0)
    return state.copy(writer = writer, notBefore = null, failures = 0)
}

/** The journal after a claim failed. */
public fun claimFailed(state: JournalState, now: Moment): JournalState = state.backedOff(now)

/**
 * Whether [self] takes over the journal of the lost [host], which [owner] holds; [lost] are all hosts known lost.
 *
 * A journal that [self] holds already is one whose recovery it did not end.
 */
public fun mayTakeOver(self: HostId, host: HostId, owner: JournalOwner, lost: Set<HostId>): Boolean =
    host != self && (owner.host == host || owner.host == self || owner.host in lost)

/** What a new owner of a journal does about a request that was accepted before. */
public sealed interface Recovery {
    /** Run it again: it may be repeated. */
    public data object Rerun : Recovery

    /** Record that it ended so. */
    public data class End(public val outcome: Outcome) : Recovery

    /** Nothing: it has ended. */
    public data object Drop : Recovery
}

/** Decides about the request [record], whose open row is [open]. */
public fun recoveryOf(record: RequestRecord, open: OpenRequest): Recovery {
    val work = record.work
    return when {
        record.outcome != null -> Recovery.Drop
        work is Work.Chat || work.idempotent -> Recovery.Rerun
        open.intent != null -> Recovery.End(Outcome.Failed(Refusal.HostLost(open.intent.host)))
        else -> Recovery.End(Outcome.Failed(Refusal.NotStarted(record.host)))
    }
}
