package figdeck.command.journal

import figdeck.model.Fence
import figdeck.model.Moment
import figdeck.model.RowCheck
import figdeck.model.TableTransaction
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration

/**
 * The state of a daemon's journal, which is written one group of entries at a time, each in one transaction.
 *
 * Each group checks and rewrites a marker row, so that a transaction that is sent twice takes effect once and a lost
 * reply can be settled by reading the marker.
 *
 * @property writer the right to write; null until the journal is claimed and after its ownership is lost.
 * @property interval the minimum time between the starts of two groups.
 * @property notBefore the earliest time for the next call to the table.
 * @property failures the number of calls to the table that failed since the last success.
 */
public data class JournalState(
    public val writer: JournalWriter?,
    public val pending: PersistentList<JournalEntry>,
    public val pendingSize: Long,
    public val inFlight: Group?,
    public val interval: Duration,
    public val notBefore: Moment?,
    public val failures: Int,
)

/**
 * The right to write a journal.
 *
 * @property marker the marker row at its version after the latest group.
 * @property groups the number of groups formed under the [fence].
 */
public data class JournalWriter(
    public val fence: Fence,
    public val marker: RowCheck,
    public val groups: Long,
)

/**
 * Entries that are written in one transaction.
 *
 * @property tag the value that the transaction writes to the marker row.
 * @property inDoubt whether a reply was lost, so that the transaction may have taken effect.
 * @property superseded whether the marker row has changed, so that reading it shows whether the group was committed.
 */
public data class Group(
    public val tag: String,
    public val entries: List<JournalEntry>,
    public val transaction: TableTransaction,
    public val startedAt: Moment,
    public val inDoubt: Boolean,
    public val superseded: Boolean,
)

/** The state of a journal that the daemon has not claimed yet. */
public fun initialJournal(interval: Duration): JournalState = JournalState(
    writer = null,
    pending = persistentListOf(),
    pendingSize = 0,
    inFlight = null,
    interval = interval,
    notBefore = null,
    failures = 0,
)
