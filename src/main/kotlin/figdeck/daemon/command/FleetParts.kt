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
 * What daemons ask of each other about ownership.
 *
 * @property promise asks a host not to end the lease of an incarnation of this host.
 * @property wake tells a host that shards were released to it.
 */
public data class PeerOwnership(
    public val promise: suspend (HostLease, HostId, Long) -> Boolean,
    public val wake: suspend (HostLease) -> Unit,
)

/**
 * What keeping a place in the fleet needs.
 *
 * @property newIncarnation gives a number that no other incarnation has.
 * @property woken receives when a peer has released shards to this host.
 */
public data class FleetParts(
    public val control: Control<ControlState>,
    public val platform: Store,
    public val peers: PeerOwnership,
    public val newIncarnation: () -> Long,
    public val woken: Channel<Unit> = Channel(Channel.CONFLATED),
)

internal val FleetParts.ownership: OwnershipState get() = control.snapshot.fleet.ownership

internal suspend fun <R> FleetParts.decide(decision: (OwnershipState, Moment) -> Step<OwnershipState, R>): R =
    control.run { state, now -> ownershipStep(state) { decision(it, now) } }

internal suspend fun FleetParts.change(change: (OwnershipState, Moment) -> OwnershipState) {
    control.run { state, now -> ownershipChange(state) { change(it, now) } }
}
