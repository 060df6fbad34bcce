package figdeck.command.journal

import figdeck.model.Fence
import figdeck.model.Moment
import figdeck.model.RowCheck
import figdeck.model.TableTransaction
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration

/**
 * How a daemon's journal is written: one group of entries after another, each in one transaction.
 *
 * Each group checks and rewrites a marker row, so that a transaction sent twice takes effect once and a lost reply can
 * be settled by reading the marker.
 *
 * @property writer what this daemon may write under; null until the journal is claimed and after it was lost.
 * @property interval the least time between the starts of two groups.
 * @property notBefore when the next call to the table may start.
 * @property failures the calls to the table that failed since the last that did not.
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
 * @property marker the marker row as the latest group left it.
 * @property groups the number of groups formed under the [fence].
 */
public data class JournalWriter(
    public val fence: Fence,
    public val marker: RowCheck,
    public val groups: Long,
)

/**
 * Entries that go into one transaction.
 *
 * @property tag what the transaction writes into the marker row.
 * @property inDoubt whether a reply was lost, so that the transaction may have taken effect.
 * @property superseded whether the marker row has moved, so that reading it tells what became of the group.
 */
public data class Group(
    public val tag: String,
    public val entries: List<JournalEntry>,
    public val transaction: TableTransaction,
    public val startedAt: Moment,
    public val inDoubt: Boolean,
    public val superseded: Boolean,
)

/** The journal of a daemon that has not claimed it yet. */
public fun initialJournal(interval: Duration): JournalState = JournalState(
    writer = null,
    pending = persistentListOf(),
    pendingSize = 0,
    inFlight = null,
    interval = interval,
    notBefore = null,
    failures = 0,
)
