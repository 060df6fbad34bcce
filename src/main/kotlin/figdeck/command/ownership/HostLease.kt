package figdeck.command.ownership

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId

/**
 * What a host's row says.
 *
 * @property address where its peers reach it.
 * @property incarnation chosen at random when the row is created; a new one owns nothing yet.
 * @property renewal rises with each attempt to renew, so that a lost reply is settled by reading the row.
 * @property guardians the hosts that alone may end this lease soon after it has lapsed.
 * @property leaving whether the host hands over what it owns.
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

/** A host's row as it stands at [version]. */
public data class HostRow(
    public val lease: HostLease,
    public val version: Long,
)
