package figdeck.daemon.query

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.applyChanges
import figdeck.control.confirmRevision
import figdeck.control.replaceConfiguration
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.ConfigurationChange
import figdeck.model.ConfigurationHead
import figdeck.model.Moment
import figdeck.model.Revision
import figdeck.model.map
import figdeck.store.query.StoreQueries
import figdeck.wire.command.decodeChange
import figdeck.wire.command.decodeConfiguration
import figdeck.wire.command.decodeConfigurationHead

/** The row that holds the newest revision. */
internal const val HEAD_KEY = "configuration/head"
internal const val CHANGE_PREFIX = "configuration/change/"
private const val SNAPSHOT_PREFIX = "configuration/snapshot/"
private const val REVISION_DIGITS = 12
private const val PAGE_ROWS = 100

/** The head of the stored configuration and the version of its row. */
internal data class StoredHead(
    val head: ConfigurationHead,
    val version: Long,
)

internal fun changeKey(revision: Revision): String =
    CHANGE_PREFIX + revision.toString().padStart(REVISION_DIGITS, '0')

internal fun snapshotKey(revision: Revision): String = SNAPSHOT_PREFIX + revision

/** Reads the head, which is revision 0 before the first change. */
internal suspend fun StoreQueries.readHead(): CallResult<StoredHead> = readRow(HEAD_KEY).map { found ->
    val row = found.value
    if (row == null) {
        StoredHead(ConfigurationHead(Revision(0), Revision(0)), ABSENT)
    } else {
        StoredHead(decodeConfigurationHead(row.value), row.version)
    }
}

/** Reads at most one page of the changes after [since], oldest first. */
internal suspend fun StoreQueries.readChanges(since: Revision): CallResult<List<ConfigurationChange>> =
    scanRows(CHANGE_PREFIX, changeKey(since), PAGE_ROWS).map { rows ->
        rows.mapNotNull { row -> decodeChange(row.value).getOrNull() }
    }

/** Reads the change that created [revision], or null if there is none. */
internal suspend fun StoreQueries.readChange(revision: Revision): CallResult<ConfigurationChange?> =
    readRow(changeKey(revision)).map { found -> found.value?.let { decodeChange(it.value).getOrNull() } }

/** Applies the newest stored revision to the control state, and confirms it as of the time the request was sent. */
internal suspend fun catchUp(
    queries: StoreQueries,
    control: Control<ControlState>,
    clock: () -> Moment,
): CallResult<StoredHead> {
    val askedAt = clock()
    val stored = queries.readHead()
    if (stored is CallResult.Done) {
        applySnapshot(queries, control, stored.value.head)
        applyMissingChanges(queries, control, stored.value.head.revision)
        control.run { state, _ -> confirmRevision(state, stored.value.head.revision, askedAt) }
    }
    return stored
}

private suspend fun applySnapshot(queries: StoreQueries, control: Control<ControlState>, head: ConfigurationHead) {
    if (control.snapshot.configuration.revision < head.snapshot) {
        val found = queries.readObject(snapshotKey(head.snapshot)) as? CallResult.Done
        val decoded = found?.value?.value?.let { decodeConfiguration(it.decodeToString()).getOrNull() }
        decoded?.let { control.run { state, _ -> replaceConfiguration(state, it) } }
    }
}

private suspend fun applyMissingChanges(queries: StoreQueries, control: Control<ControlState>, newest: Revision) {
    var currentRevision = control.snapshot.configuration.revision
    while (currentRevision < newest) {
        val changes = (queries.readChanges(currentRevision) as? CallResult.Done)?.value ?: return
        val newRevision = control.run { state, _ -> applyChanges(state, changes) }
        if (newRevision == currentRevision) {
            return
        }
        currentRevision = newRevision
    }
}
