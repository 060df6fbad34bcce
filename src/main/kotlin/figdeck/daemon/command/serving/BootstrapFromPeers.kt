package figdeck.daemon.command.serving

import figdeck.command.serving.adoptUnconfirmed
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.applyMembers
import figdeck.control.serving.updateColdPools
import figdeck.daemon.query.serving.TableFollower
import figdeck.log.PartLog
import figdeck.model.Address
import figdeck.model.Clock
import figdeck.model.Row
import figdeck.model.serving.FleetScan
import figdeck.model.serving.PoolMember
import figdeck.store.query.RowChange
import figdeck.wire.serving.StoreView
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val REQUEST_INTERVAL = 250.milliseconds

/** How long a host requests views after its start at least: peers know upstreams that the store has lost. */
private val MIN_REQUEST_PERIOD = 2.seconds
private val log = PartLog("fleet")

/**
 * How a host that has just started reads the view of a peer.
 *
 * @property seeds addresses of possible peers. Each may be outdated or down.
 * @property evacuations receives the rows of the plan table first, so that no host is ready without its evacuations.
 * @property plans receives the rows of the plan table.
 * @property decodeUpstream decodes a row of the upstream table; null if the row is not a valid upstream.
 */
internal data class PeerBootstrap(
    val seeds: List<Address>,
    val evacuations: suspend (List<Row>) -> Unit,
    val plans: TableFollower,
    val decodeUpstream: (Row) -> PoolMember?,
)

/**
 * Requests the store view of the seeds until one returns a plan. Gives up once a plan is in force and
 * [MIN_REQUEST_PERIOD] has passed.
 */
internal suspend fun Control<ServingState>.bootstrapFromPeers(
    peers: FleetPeers,
    bootstrap: PeerBootstrap,
    clock: Clock
) {
    val startedAt = clock()
    var isBootstrapped = false
    while (!isBootstrapped && (snapshot.index == null || clock() - startedAt < MIN_REQUEST_PERIOD)) {
        val view = bootstrap.seeds.firstNotNullOfOrNull { seed -> peers.view(seed)?.takeIf { it.plans.isNotEmpty() } }
        if (view != null) {
            applyView(view, bootstrap, clock)
            isBootstrapped = true
        }
        delay(REQUEST_INTERVAL)
    }
}

private suspend fun Control<ServingState>.applyView(view: StoreView, bootstrap: PeerBootstrap, clock: Clock) {
    bootstrap.evacuations(view.plans)
    bootstrap.plans.change(view.plans.map { RowChange(it.key, it) })
    val upstreams = view.upstreams.mapNotNull { bootstrap.decodeUpstream(it) }
    run { state, now -> updateColdPools(state, now) { adoptUnconfirmed(it, upstreams, now) } }
    val storeMillis = view.storeMillis
    if (storeMillis != null && snapshot.fleet.scan == null) {
        run { state, _ -> applyMembers(state, FleetScan(view.members, storeMillis, clock())) }
    }
    log.info { "read ${upstreams.size} upstreams and ${view.members.size} hosts from a peer" }
}
