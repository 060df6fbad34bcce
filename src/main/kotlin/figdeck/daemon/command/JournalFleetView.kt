package figdeck.daemon.command

import figdeck.model.HostId

/**
 * What keeping a journal asks of the fleet.
 *
 * @property isLeased whether this host's lease holds. A journal is claimed under a lease alone, so that a journal whose
 * host has no row in the table belongs to a lost host.
 * @property hostCount how many hosts share the table's writes.
 * @property lostHosts the hosts whose journals this one should take over.
 */
internal data class JournalFleetView(
    val isLeased: () -> Boolean,
    val hostCount: () -> Int,
    val lostHosts: suspend () -> List<HostId>,
)
