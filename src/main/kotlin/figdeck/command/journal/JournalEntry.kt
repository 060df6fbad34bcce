package figdeck.command.journal

import figdeck.model.Epoch
import figdeck.model.RowCheck
import figdeck.model.RowWrite

/**
 * Rows of one request that are written together or not at all, in one transaction with those of other requests.
 *
 * @property number tells this entry from all others of the daemon.
 * @property epoch the epoch of the journal under which the request was accepted.
 */
public data class JournalEntry(
    public val number: Long,
    public val epoch: Epoch,
    public val checks: List<RowCheck>,
    public val writes: List<RowWrite>,
) {
    /** The rows that it adds to a transaction. */
    public val rowCount: Int get() = (checks.map { it.key } + writes.map { it.key }).distinct().size

    /** The size of its writes, in characters. */
    public val size: Int get() = writes.sumOf { it.key.length + (it.value?.length ?: 0) }
}

/** What became of an entry. */
public sealed interface EntryResult {
    /** It is durable. */
    public data object Durable : EntryResult

    /** It was not written and never will be: the rows under [keys] were not as it expected. */
    public data class Conflicted(public val keys: List<String>) : EntryResult

    /** It was not written and never will be: the journal has another owner. */
    public data object Fenced : EntryResult

    /** The journal has another owner, and the entry may have been written before that. */
    public data object FencedInDoubt : EntryResult
}

/** The [result] of the entry [number]. */
public data class SettledEntry(
    public val number: Long,
    public val result: EntryResult,
)
