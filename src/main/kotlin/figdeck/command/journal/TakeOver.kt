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

/** The key of the row whose version fences the journal of [host]. */
public fun journalKey(host: HostId): String = "journal/$host"

/** The key of the marker row, which each group of the journal of [host] rewrites. */
public fun markerKey(host: HostId): String = "group/$host"

/** The state of the journal after its claim took effect at table version [version]. */
public fun claimed(state: JournalState, host: HostId, version: Long): JournalState {
    val fence = Fence(Epoch(version), RowCheck(journalKey(host), version))
    val writer = JournalWriter(fence, RowCheck(markerKey(host), version), groups = 0)
    return state.copy(writer = writer, notBefore = null, failures = 0)
}

/** The state of the journal after a failed claim. */
public fun claimFailed(state: JournalState, now: Moment): JournalState = state.backedOff(now)

/**
 * Whether [self] may take over the journal of the lost [host], whose current owner is [owner]; [lost] holds all hosts
 * that are known to be lost.
 *
 * If [self] already owns the journal, it has not finished the recovery and continues it.
 */
public fun mayTakeOver(self: HostId, host: HostId, owner: JournalOwner, lost: Set<HostId>): Boolean =
    host != self && (owner.host == host || owner.host == self || owner.host in lost)

/** What the new owner of a journal does with a request that the previous owner accepted. */
public sealed interface Recovery {
    /** Run the request again: it is safe to repeat. */
    public data object Rerun : Recovery

    /** Record [outcome] as the end of the request. */
    public data class End(public val outcome: Outcome) : Recovery

    /** Do nothing: the request has ended. */
    public data object Drop : Recovery
}

/** Decides how to recover the request [record], whose open row is [open]. */
public fun recoveryOf(record: RequestRecord, open: OpenRequest): Recovery {
    val work = record.work
    return when {
        record.outcome != null -> Recovery.Drop
        work is Work.Chat || work.idempotent -> Recovery.Rerun
        open.intent != null -> Recovery.End(Outcome.Failed(Refusal.HostLost(open.intent.host)))
        else -> Recovery.End(Outcome.Failed(Refusal.NotStarted(record.host)))
    }
}
