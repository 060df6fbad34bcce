package figdeck.command.journal

import figdeck.model.TableTransaction
import kotlin.time.Duration

/** What the writer of the journal does next. */
public sealed interface JournalOrder {
    /** Claim the journal. */
    public data object Claim : JournalOrder

    /** Wait until an entry comes. */
    public data object Rest : JournalOrder

    /** Wait for a time. */
    public data class Pause(public val duration: Duration) : JournalOrder

    /** Commit [transaction] and settle the group in flight by its reply. */
    public data class Commit(public val transaction: TableTransaction) : JournalOrder

    /** Read the marker row under [key] and settle the group in flight by it. */
    public data class ReadMarker(public val key: String) : JournalOrder
}
