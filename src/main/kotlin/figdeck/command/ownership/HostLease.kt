package figdeck.command.ownership

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId

/**
 * The contents of a host's row.
 *
 * @property address the address at which peers reach the host.
 * @property incarnation a random number chosen when the row is created; a new incarnation owns no shards.
 * @property renewal a counter that rises with each attempt to renew, so that reading the row settles a lost reply.
 * @property guardians the only hosts that may end this lease shortly after it expires; all others wait much longer.
 * @property leaving whether the host is handing over its shards.
 */
public data class HostLease(
    public val host: HostId,
    public val address: Address,
    public val dataCentre: DataCentre,
    public val incarnation: Long,
    public val renewal: Long,
    public val guardians: List<HostId>,
    public val leaving: Boolean,
)

/** A host's row at [version]. */
public data class HostRow(
    public val lease: HostLease,
    public val version: Long,
)
