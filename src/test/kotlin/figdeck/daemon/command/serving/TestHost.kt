package figdeck.daemon.command.serving

import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.serving.applyScan
import figdeck.command.serving.putMember
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.initialServingState
import figdeck.control.serving.updateFleet
import figdeck.control.serving.updatePools
import figdeck.control.serving.updateSlots
import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.LocalSlots
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.SlotDispatcher
import figdeck.log.DecisionLog
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Region
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.systemClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlin.random.Random

private const val STORE_MILLIS = 10_000L
private const val SLOTS = 6
private val centre = DataCentre("centre-a")

/** Peers that never answer. */
internal val unresponsivePeers = FleetPeers(
    acquire = { _, _ -> null },
    release = { _, _ -> false },
    confirm = { _, _ -> false },
    revoke = { _, _ -> false },
    takeToken = { _, _ -> null },
    view = { null },
)

internal fun fleetMember(name: String, cores: Double = 1.0, dataCentre: DataCentre = centre) = FleetMember(
    host = HostId(name),
    address = Address("127.0.0.1", 1),
    dataCentre = dataCentre,
    incarnation = name,
    joinedAtMillis = 0,
    renewedAtMillis = STORE_MILLIS,
    cores = cores,
)

internal fun poolMember(
    pool: PoolName,
    id: String,
    isLeaving: Boolean = false,
    dataCentre: DataCentre = centre,
) = PoolMember(
    Upstream(UpstreamId(id), Address("127.0.0.1", 2), dataCentre, UpstreamKind.SERVICE, SLOTS, honoursFencing = false),
    pool,
    isLeaving,
)

/** The announcement that the start at [millis] of the same upstream writes. */
internal fun PoolMember.startedAt(millis: Long?): PoolMember =
    copy(upstream = upstream.copy(startedAtMillis = millis))

/** The slot client and owner of one host, without network and store. */
internal class TestHost(
    self: FleetMember,
    peers: FleetPeers = unresponsivePeers,
    regions: Map<DataCentre, Region> = emptyMap(),
) : AutoCloseable {
    val control = Control(initialServingState(self, regions), systemClock)
    private val scope = CoroutineScope(Dispatchers.Default)
    private val ownSlots = LocalSlots(
        now = { control.snapshot.slots },
        decide = { decision ->
            control.run { state: ServingState, now -> updateSlots(state, now) { decision(it, now) } }
        },
    )
    val dispatcher = SlotDispatcher(ownSlots, DispatchPolicy(), Random(1))
    val owner = SlotOwner(dispatcher, control, systemClock) { _, _ -> }
    val slots = SlotClient(control, systemClock, owner, RemoteSlotOwners(control, peers), scope)

    /** Sets the members and upstreams that the host knows. */
    suspend fun setView(members: List<FleetMember>, upstreams: List<PoolMember>) {
        val scan = FleetScan(members, STORE_MILLIS, systemClock())
        control.run { state, _ -> updateFleet(state) { applyScan(it, scan) } }
        upstreams.forEach { member -> control.run { state, _ -> updatePools(state) { putMember(it, member) } } }
    }

    override fun close() {
        scope.cancel()
        control.close()
    }
}

/** The services of this host for online requests, with a store of its own. */
internal fun TestHost.onlineServices(calls: CallsInProgress = CallsInProgress()): OnlineServices {
    val writer = CrashRiskWriter(control, systemClock, MemoryBackends().platform(FaultInjector(null)))
    return OnlineServices(
        clock = systemClock,
        limits = TeamLimits(control, systemClock, unresponsivePeers, DecisionLog("limits")),
        slots = slots,
        crashGuard = CrashGuard(control, systemClock, writer, Random(1), DecisionLog("prompts")),
        random = Random(2),
        log = DecisionLog("serve"),
        calls = calls,
        countFailedSend = {},
    )
}
