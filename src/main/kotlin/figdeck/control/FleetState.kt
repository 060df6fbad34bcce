package figdeck.control

import figdeck.command.limit.HeldGrants
import figdeck.command.limit.TeamBuckets
import figdeck.command.ownership.HostIdentity
import figdeck.command.ownership.LeaseTimes
import figdeck.command.ownership.OwnershipState
import figdeck.command.ownership.initialOwnership
import kotlinx.collections.immutable.persistentMapOf

/** What a daemon knows of the fleet, the shards and buckets that it owns, and the rate limit grants that it holds. */
public data class FleetState(
    public val ownership: OwnershipState,
    public val buckets: TeamBuckets,
    public val grants: HeldGrants,
)

/** The state of a daemon that has not read the table yet. */
public fun initialFleet(self: HostIdentity, times: LeaseTimes): FleetState =
    FleetState(initialOwnership(self, times), TeamBuckets(persistentMapOf()), HeldGrants(persistentMapOf()))
