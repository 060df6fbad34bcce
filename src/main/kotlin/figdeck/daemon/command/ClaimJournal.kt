package figdeck.daemon.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.command.journal.journalKey
import figdeck.command.journal.markerKey
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.HostId
import figdeck.model.JournalOwner
import figdeck.model.Row
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.store.Store
import figdeck.wire.encodeJournalOwner

/** The initial value of the marker row, which the first group of a new owner expects. */
private const val INITIAL_MARKER = "claimed"

/** Makes [owner] the owner of the journal of [host], replacing any owner. Returns the table version of the claim. */
internal suspend fun claimJournal(
    platform: Store,
    host: HostId,
    owner: JournalOwner,
): Either<ClaimFailure, Long> = either {
    val read = platform.queries.readRow(journalKey(host))
    ensure(read is CallResult.Done) { ClaimFailure("cannot read the journal row") }
    replaceOwner(platform, host, read.value.value, owner).bind()
}

/**
 * Makes [owner] the owner of the journal of [host] if the journal row is still [current]. Only one of several
 * concurrent claims succeeds. Returns the table version of the claim.
 */
internal suspend fun replaceOwner(
    platform: Store,
    host: HostId,
    current: Row?,
    owner: JournalOwner,
): Either<ClaimFailure, Long> = either {
    val key = journalKey(host)
    val claim = TableTransaction(
        checks = listOf(RowCheck(key, current?.version ?: ABSENT)),
        writes = listOf(RowWrite(key, encodeJournalOwner(owner)), RowWrite(markerKey(host), INITIAL_MARKER)),
    )
    when (val reply = platform.commands.commit(claim)) {
        is CallResult.Done -> when (val decided = reply.value) {
            is CommitReply.Committed -> decided.version
            is CommitReply.Conflict -> readBackClaim(platform, key, owner).bind()
        }
        is CallResult.NotDone -> raise(ClaimFailure(reply.reason))
        is CallResult.Refused -> raise(ClaimFailure(reply.reason))
        is CallResult.Unknown -> readBackClaim(platform, key, owner).bind()
    }
}

/** Reads the journal row after an unclear reply and returns its version if [owner] owns the journal. */
private suspend fun readBackClaim(
    platform: Store,
    key: String,
    owner: JournalOwner
): Either<ClaimFailure, Long> = either {
    val read = platform.queries.readRow(key)
    ensure(read is CallResult.Done) { ClaimFailure("cannot read the claim back") }
    val row = read.value.value
    ensure(row != null && row.value == encodeJournalOwner(owner)) { ClaimFailure("another owner claimed it first") }
    row.version
}
