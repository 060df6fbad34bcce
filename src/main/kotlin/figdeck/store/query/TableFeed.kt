package figdeck.store.query

import figdeck.model.CallResult
import figdeck.model.Row
import kotlin.time.Duration

/**
 * All rows of a table at one moment.
 *
 * @property version the newest version of the store, from which changes can be followed.
 * @property storeMillis the store's steady clock.
 */
public data class TableSnapshot(
    public val rows: List<Row>,
    public val version: Long,
    public val storeMillis: Long,
)

/** A change of one row; [row] is null when it was removed. */
public data class RowChange(
    public val key: String,
    public val row: Row?,
)

/** What has changed in a table. */
public sealed interface FeedReply {
    /** The changes up to [version], in order; none when nothing changed while the store waited. */
    public data class Changes(
        public val changes: List<RowChange>,
        public val version: Long,
    ) : FeedReply

    /** The store has dropped the history that was asked for: read the table anew. */
    public data object HistoryLost : FeedReply
}

/**
 * Reads whole tables and what changes in them. Keys don't contain the table's name.
 *
 * @property snapshot reads all rows of a table.
 * @property changes waits for changes of a table after a version.
 */
public data class TableFeed(
    public val snapshot: suspend (table: String) -> CallResult<TableSnapshot>,
    public val changes: suspend (table: String, after: Long, wait: Duration) -> CallResult<FeedReply>,
)
