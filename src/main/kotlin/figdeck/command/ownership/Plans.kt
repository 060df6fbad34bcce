package figdeck.command.ownership

import figdeck.model.HostId
import figdeck.model.Moment

/** A renewal to send at [sentAt]: writes [lease] to the host's row if the row is still at version [expected]. */
public data class RenewalPlan(
    public val lease: HostLease,
    public val expected: Long,
    public val sentAt: Moment,
)

/** The end of a lease: deletes the row of [host] if it is still at [version]. */
public data class ExpiryPlan(
    public val host: HostId,
    public val version: Long,
)

/**
 * A change of shard rows in one transaction.
 *
 * @property rows the new contents of the rows; each version is the one that the row must still have.
 * @property ownerChecks the versions that the host rows of the previous owners must still have, 0 for absent rows.
 */
public data class ShardPlan(
    public val incarnation: Long,
    public val rows: List<ShardRow>,
    public val ownerChecks: Map<HostId, Long>,
)
