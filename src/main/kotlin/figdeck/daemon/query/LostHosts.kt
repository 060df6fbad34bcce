package figdeck.daemon.query

import figdeck.command.journal.journalKey
import figdeck.command.ownership.OwnershipState
import figdeck.command.ownership.hostKey
import figdeck.command.ownership.shardOf
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.model.CallResult
import figdeck.model.HostId
import figdeck.store.query.StoreQueries

private const val JOURNAL_PREFIX = "journal/"
private const val MAX_JOURNAL_ROWS = 10_000

/**
 * Returns the hosts that have a journal but no host row in the table, and whose journals this host takes over.
 *
 * A host claims its journal under its lease. If its journal is read first and its row is absent afterwards, the
 * host has lost its lease or has left.
 */
internal suspend fun lostHosts(queries: StoreQueries, control: Control<ControlState>): List<HostId> {
    val journals = queries.scanRows(JOURNAL_PREFIX, "", MAX_JOURNAL_ROWS)
    val ownership = control.snapshot.fleet.ownership
    if (journals !is CallResult.Done || ownership.held == null) {
        return emptyList()
    }
    return journals.value
        .map { HostId(it.key.removePrefix(JOURNAL_PREFIX)) }
        .filter { it !in ownership.hosts && ownership.ownsJournalOf(it) }
        .filter { host -> queries.hasNoRow(host) }
}

private fun OwnershipState.ownsJournalOf(host: HostId): Boolean =
    preferences.ownerOf(shardOf("journal", journalKey(host))) == self.host

private suspend fun StoreQueries.hasNoRow(host: HostId): Boolean {
    val read = readRow(hostKey(host))
    return read is CallResult.Done && read.value.value == null
}
