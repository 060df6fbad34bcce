package figdeck.cli

import figdeck.command.ownership.HostIdentity
import figdeck.command.ownership.fenceOf
import figdeck.command.ownership.likelyOwners
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.daemon.command.DRAW_PATH
import figdeck.daemon.command.MembershipServices
import figdeck.daemon.command.Ownership
import figdeck.daemon.command.PROMISE_PATH
import figdeck.daemon.command.Peer
import figdeck.daemon.command.PeerClient
import figdeck.daemon.command.RateLimiter
import figdeck.daemon.command.StartLoop
import figdeck.daemon.command.TokenDrawBatcher
import figdeck.daemon.command.WAKE_PATH
import figdeck.daemon.command.fleetRateLimiter
import figdeck.daemon.command.maintainShards
import figdeck.daemon.command.renewLeasePeriodically
import figdeck.daemon.command.requestPromisesPeriodically
import figdeck.http.client.HttpClient
import figdeck.http.server.HttpHandler
import figdeck.model.Clock
import figdeck.store.Store
import figdeck.traffic.command.leasePromiseHandler
import figdeck.traffic.command.shardWakeHandler
import figdeck.traffic.command.tokenDrawHandler
import kotlinx.coroutines.CoroutineScope
import kotlin.random.Random

/** The components that make a daemon a member of the fleet: its lease, its shards and the fleet-wide rate limits. */
internal class FleetComponents(
    private val control: Control<ControlState>,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val peerClient: PeerClient,
    platform: Store,
    random: Random,
) {
    /** The services behind the membership loops. */
    val membership: MembershipServices = MembershipServices(
        control,
        platform,
        peerClient.ownership,
        { random.nextLong(1, Long.MAX_VALUE) }
    )

    /** Looks up shard ownership in the control state. */
    val ownership: Ownership = Ownership(
        fenceOf = { shard -> membership.snapshot().fenceOf(shard, clock()) },
        ownerOf = { shard ->
            val state = membership.snapshot()
            state.likelyOwners(shard).firstOrNull()
                ?.takeIf { shard !in state.owned }
                ?.let { Peer(it.host, it.address) }
        },
    )

    /** The handlers of requests from other daemons, by path. */
    val handlers: Map<String, HttpHandler> = mapOf(
        DRAW_PATH to tokenDrawHandler(control),
        PROMISE_PATH to leasePromiseHandler(control),
        WAKE_PATH to shardWakeHandler(membership.shardsReleased),
    )

    /** Creates the rate limiter, which enforces limits across the fleet. */
    fun rateLimiter(): RateLimiter = fleetRateLimiter(
        control,
        clock,
        TokenDrawBatcher(scope, control, clock, peerClient.requestGrants)
    )

    /** Starts the loops that renew the lease, request promises and maintain the shards. */
    fun start(startLoop: StartLoop) {
        startLoop("lease") { membership.renewLeasePeriodically() }
        startLoop("promises") { membership.requestPromisesPeriodically(clock) }
        startLoop("shards") { membership.maintainShards(clock) }
    }
}

/** The identity that this daemon announces to its peers. */
internal fun Settings.hostIdentity(): HostIdentity = HostIdentity(host, peerAddress, dataCentre)

/** Creates a client of other daemons with the peer secret from [settings]. */
internal fun newPeerClient(client: HttpClient, settings: Settings): PeerClient =
    PeerClient(client, settings.credentials.peer)

private fun MembershipServices.snapshot() = control.snapshot.fleet.ownership
