package figdeck.command.ownership

import figdeck.model.HostId
import figdeck.model.Moment

/** A renewal to be sent at [sentAt]: the row takes [lease] if it still stands at version [expected]. */
public data class RenewalPlan(
    public val lease: HostLease,
    public val expected: Long,
    public val sentAt: Moment,
)

/** The end of a lapsed lease: the row of [host] is deleted if it still stands at [version]. */
public data class ExpiryPlan(
    public val host: HostId,
    public val version: Long,
)

/**
 * A change of shard rows in one transaction.
 *
 * @property rows the rows as they are to be; each version is the one that must still stand.
 * @property ownerChecks the versions at which the rows of former owners must still stand, 0 for absent ones.
 */
public data class ShardPlan(
    public val incarnation: Long,
    public val rows: List<ShardRow>,
    public val ownerChecks: Map<HostId, Long>,
)
