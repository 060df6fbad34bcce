package figdeck.cli

import figdeck.command.ownership.HostIdentity
import figdeck.command.ownership.fenceOf
import figdeck.command.ownership.likelyOwners
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.daemon.command.DRAW_PATH
import figdeck.daemon.command.FleetParts
import figdeck.daemon.command.Limits
import figdeck.daemon.command.Ownership
import figdeck.daemon.command.PROMISE_PATH
import figdeck.daemon.command.Peer
import figdeck.daemon.command.PeerCalls
import figdeck.daemon.command.PeerDraws
import figdeck.daemon.command.WAKE_PATH
import figdeck.daemon.command.fleetLimits
import figdeck.daemon.command.keepLease
import figdeck.daemon.command.keepPromises
import figdeck.daemon.command.keepShards
import figdeck.http.client.HttpClient
import figdeck.http.server.HttpHandler
import figdeck.model.Clock
import figdeck.store.Store
import figdeck.traffic.command.drawHandler
import figdeck.traffic.command.promiseHandler
import figdeck.traffic.command.wakeHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.random.Random

/** A daemon's place in the fleet: its lease, its shards and the fleet-wide limits. */
internal class FleetWiring(
    private val control: Control<ControlState>,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val calls: PeerCalls,
    platform: Store,
    random: Random,
) {
    /** What the loops need. */
    val parts: FleetParts = FleetParts(control, platform, calls.ownership, { random.nextLong(1, Long.MAX_VALUE) })

    /** Which host owns what. */
    val ownership: Ownership = Ownership(
        fenceOf = { shard -> parts.snapshot().fenceOf(shard, clock()) },
        ownerOf = { shard ->
            val state = parts.snapshot()
            state.likelyOwners(shard).firstOrNull()
                ?.takeIf { shard !in state.owned }
                ?.let { Peer(it.host, it.address) }
        },
    )

    /** What other daemons may ask, by path. */
    val handlers: Map<String, HttpHandler> = mapOf(
        DRAW_PATH to drawHandler(control),
        PROMISE_PATH to promiseHandler(control),
        WAKE_PATH to wakeHandler(parts.woken),
    )

    /** The fleet-wide limits. */
    fun limits(): Limits = fleetLimits(control, clock, PeerDraws(scope, control, clock, calls.askGrants))

    /** Starts the loops. */
    fun start() {
        scope.launch { parts.keepLease() }
        scope.launch { parts.keepPromises(clock) }
        scope.launch { parts.keepShards(clock) }
    }
}

/** What this daemon tells its peers of itself. */
internal fun Settings.identity(): HostIdentity = HostIdentity(host, peerAddress, dataCentre)

/** Calls of other daemons as [settings] say. */
internal fun peerCalls(client: HttpClient, settings: Settings): PeerCalls =
    PeerCalls(client, settings.credentials.peer)

private fun FleetParts.snapshot() = control.snapshot.fleet.ownership
