package figdeck.store.query

import figdeck.model.CallResult
import figdeck.model.Row
import kotlin.time.Duration

/** Accepts all rows of a table. */
public val allRows: (Row) -> Boolean = { true }

/**
 * The rows of a table at one point in time.
 *
 * @property version the newest version of the store; changes can be followed from it.
 * @property storeMillis the time on the store's monotonic clock, in milliseconds.
 */
public data class TableSnapshot(
    public val rows: List<Row>,
    public val version: Long,
    public val storeMillis: Long,
)

/**
 * A page of the rows of a table, in the order of their keys.
 *
 * @property hasMore whether rows follow after it.
 * @property version the newest version of the store.
 */
public data class RowPage(
    public val rows: List<Row>,
    public val hasMore: Boolean,
    public val version: Long,
)

/** A change of a row; [row] is null if the row was removed. */
public data class RowChange(
    public val key: String,
    public val row: Row?,
)

/** The reply to a request for the changes of a table. */
public sealed interface FeedReply {
    /** The changes up to [version], in order; empty if nothing changed while the store waited. */
    public data class Changes(
        public val changes: List<RowChange>,
        public val version: Long,
    ) : FeedReply

    /** The store has dropped the requested history; the table has to be read again. */
    public data object HistoryLost : FeedReply
}

/**
 * Reads tables and follows their changes. Keys don't contain the table's name.
 *
 * @property snapshot reads the rows of a table that `keep` accepts, page by page.
 * @property page reads up to `limit` rows of a table with keys after `after`; an empty key precedes all.
 * @property changes waits for changes of a table after a version, up to a maximum time.
 */
public data class TableFeed(
    public val snapshot: suspend (table: String, keep: (Row) -> Boolean) -> CallResult<TableSnapshot>,
    public val page: suspend (table: String, after: String, limit: Int) -> CallResult<RowPage>,
    public val changes: suspend (table: String, after: Long, wait: Duration) -> CallResult<FeedReply>,
)
