package figdeck.daemon.command

import figdeck.model.HostId

/**
 * What maintaining the journals needs to know about the fleet.
 *
 * @property isLeased whether the lease of this host is valid. A host claims a journal only under a valid lease, so a
 * journal whose host has no row in the table belongs to a lost host.
 * @property hostCount the number of hosts that share the write capacity of the table.
 * @property lostHosts returns the lost hosts whose journals this host should take over.
 */
internal data class JournalFleetView(
    val isLeased: () -> Boolean,
    val hostCount: () -> Int,
    val lostHosts: suspend () -> List<HostId>,
)
