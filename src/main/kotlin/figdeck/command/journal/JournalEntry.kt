package figdeck.command.journal

import figdeck.model.Epoch
import figdeck.model.RowCheck
import figdeck.model.RowWrite

/**
 * Rows of one request that are written atomically, in one transaction with the rows of other requests.
 *
 * @property number identifies the entry within the daemon.
 * @property epoch the epoch of the journal under which the request was accepted.
 */
public data class JournalEntry(
    public val number: Long,
    public val epoch: Epoch,
    public val checks: List<RowCheck>,
    public val writes: List<RowWrite>,
) {
    /** The number of rows that the entry adds to a transaction. */
    public val rowCount: Int get() = (checks.map { it.key } + writes.map { it.key }).distinct().size

    /** The size of its keys and values, in characters. */
    public val size: Int get() = writes.sumOf { it.key.length + (it.value?.length ?: 0) }
}

/** How an entry was settled. */
public sealed interface EntryResult {
    /** The entry is durable. */
    public data object Durable : EntryResult

    /** The entry was not and will not be written: the rows under [keys] did not match its checks. */
    public data class Conflicted(public val keys: List<String>) : EntryResult

    /** The entry was not and will not be written: the journal has another owner. */
    public data object Fenced : EntryResult

    /** The journal has another owner, and the entry may have been written before the change of owner. */
    public data object FencedInDoubt : EntryResult
}

/** The [result] of the entry [number]. */
public data class SettledEntry(
    public val number: Long,
    public val result: EntryResult,
)
