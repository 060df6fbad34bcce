package figdeck.daemon.command

import figdeck.command.Step
import figdeck.command.ownership.HostLease
import figdeck.command.ownership.OwnershipState
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.ownershipChange
import figdeck.control.ownershipStep
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.store.Store
import kotlinx.coroutines.channels.Channel

/**
 * The calls between daemons that concern ownership.
 *
 * @property promise requests that a host promises not to expire the lease of an incarnation of this host. Returns
 * whether it promised.
 * @property notifyReleased notifies a host that shards were released to it.
 */
public data class PeerOwnershipCalls(
    public val promise: suspend (HostLease, HostId, Long) -> Boolean,
    public val notifyReleased: suspend (HostLease) -> Unit,
)

/**
 * The dependencies for keeping the lease and the shards of this host.
 *
 * @property newIncarnation creates a number that no other incarnation has.
 * @property shardsReleased signals that a peer has released shards to this host, or that this host has a new lease.
 */
public data class MembershipServices(
    public val control: Control<ControlState>,
    public val platform: Store,
    public val peers: PeerOwnershipCalls,
    public val newIncarnation: () -> Long,
    public val shardsReleased: Channel<Unit> = Channel(Channel.CONFLATED),
)

internal val MembershipServices.ownership: OwnershipState get() = control.snapshot.fleet.ownership

internal suspend fun <R> MembershipServices.decide(decision: (OwnershipState, Moment) -> Step<OwnershipState, R>): R =
    control.run { state, now -> ownershipStep(state) { decision(it, now) } }

internal suspend fun MembershipServices.change(change: (OwnershipState, Moment) -> OwnershipState) {
    control.run { state, now -> ownershipChange(state) { change(it, now) } }
}
