package figdeck.command.journal

import figdeck.model.TableTransaction
import kotlin.time.Duration

/** What the writer of the journal does next. */
public sealed interface JournalAction {
    /** Claim the journal. */
    public data object Claim : JournalAction

    /** Wait until an entry is queued. */
    public data object AwaitEntry : JournalAction

    /** Wait for [duration]. */
    public data class Pause(public val duration: Duration) : JournalAction

    /** Commit [transaction] and settle the group in flight by its reply. */
    public data class Commit(public val transaction: TableTransaction) : JournalAction

    /** Read the marker row under [key] and settle the group in flight by its value. */
    public data class ReadMarker(public val key: String) : JournalAction
}
