package figdeck.control

import figdeck.command.limit.HeldGrants
import figdeck.command.limit.TeamBuckets
import figdeck.command.ownership.HostIdentity
import figdeck.command.ownership.LeaseTimes
import figdeck.command.ownership.OwnershipState
import figdeck.command.ownership.initialOwnership
import kotlinx.collections.immutable.persistentMapOf

/** What a daemon knows of the fleet, owns in it, and holds of the fleet-wide limits. */
public data class FleetState(
    public val ownership: OwnershipState,
    public val buckets: TeamBuckets,
    public val grants: HeldGrants,
)

/** The state of a daemon that has met no other. */
public fun initialFleet(self: HostIdentity, times: LeaseTimes): FleetState =
    FleetState(initialOwnership(self, times), TeamBuckets(persistentMapOf()), HeldGrants(persistentMapOf()))
