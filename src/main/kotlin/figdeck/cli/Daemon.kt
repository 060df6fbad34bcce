package figdeck.cli

import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.ownership.isLeased
import figdeck.command.ownership.otherHosts
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.beginDrain
import figdeck.control.initialState
import figdeck.daemon.command.ConfigurationStore
import figdeck.daemon.command.GroupCommit
import figdeck.daemon.command.JournalFleetView
import figdeck.daemon.command.LoopSupervision
import figdeck.daemon.command.PEER_CONFIGURATION_PATH
import figdeck.daemon.command.Peer
import figdeck.daemon.command.Services
import figdeck.daemon.command.SlotDispatcher
import figdeck.daemon.command.awaitWork
import figdeck.daemon.command.batch.BatchServices
import figdeck.daemon.command.batch.runBatches
import figdeck.daemon.command.deleteLease
import figdeck.daemon.command.fatalErrorHandler
import figdeck.daemon.command.groupJournal
import figdeck.daemon.command.httpPeerConfigurationClient
import figdeck.daemon.command.leaveFleet
import figdeck.daemon.command.maintainJournals
import figdeck.daemon.command.propagate
import figdeck.daemon.command.startIn
import figdeck.daemon.command.withoutLeavingUpstreams
import figdeck.daemon.query.ConfigurationFollower
import figdeck.daemon.query.lostHosts
import figdeck.daemon.query.pollLeavingHosts
import figdeck.daemon.query.pollPeers
import figdeck.daemon.query.pollTable
import figdeck.daemon.query.tableRequestRecords
import figdeck.http.client.HttpClient
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.log.PartLog
import figdeck.model.ChangeId
import figdeck.model.Clock
import figdeck.model.RequestId
import figdeck.model.systemClock
import figdeck.platform.StoreClient
import figdeck.telemetry.Meters
import figdeck.telemetry.Telemetry
import figdeck.telemetry.createTracer
import figdeck.telemetry.observed
import figdeck.traffic.OperatorServices
import figdeck.traffic.callerApi
import figdeck.traffic.command.ChangeServices
import figdeck.traffic.command.peerConfigurationHandler
import figdeck.traffic.operatorApi
import figdeck.traffic.peerApi
import figdeck.upstream.command.UpstreamCommands
import figdeck.upstream.command.callOverHttp
import figdeck.upstream.command.generateOverHttp
import io.netty.channel.EventLoopGroup
import io.opentelemetry.api.trace.Tracer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val log = PartLog("daemon")
private const val MILLIS_PER_SECOND = 1000.0
private val DRAIN_GRACE = 2.seconds

/** The maximum time that a planned stop waits for calls in progress. */
internal val DRAIN_TIMEOUT = 150.seconds

/** The timeout of a call to the store. */
private val STORE_TIMEOUT = 2.seconds

private const val ID_RADIX = 36

/** A daemon, with its components built from [settings]. */
internal class Daemon(
    private val settings: Settings,
    private val eventLoops: EventLoopGroup,
    private val clock: Clock = systemClock,
    random: Random = Random.Default,
    tracer: Tracer = createTracer(settings.host.value, settings.traceEndpoint),
    supervision: LoopSupervision = LoopSupervision(::endProcess),
) : AutoCloseable {
    /** Completes when a planned stop is requested. */
    val stopRequested = CompletableDeferred<Unit>()
    private val client = HttpClient(eventLoops)
    private val telemetry = Telemetry(Meters(), tracer, clock)
    private val control = Control(initialState(settings.hostIdentity()), clock) { delay ->
        telemetry.meters.recordTime("figdeck.control.delay", delay)
    }
    private val platform = observed(StoreClient(client, settings.platformAddress, STORE_TIMEOUT).store, telemetry)
    private val slots = SlotDispatcher(control, DispatchPolicy(), random)
    private val groupCommit = GroupCommit(control, platform)
    private val scope = CoroutineScope(
        eventLoops.next().asCoroutineDispatcher() + SupervisorJob() + fatalErrorHandler(supervision.onFatal),
    )
    private val startLoop = supervision.startIn(scope)
    private val fleet = FleetComponents(control, clock, scope, newPeerClient(client, settings), platform, random)
    private val newIncarnation = { random.nextLong().toULong().toString(ID_RADIX) }
    private val services = services(random)
    private val batches = BatchServices(services, platform)
    private val follower =
        ConfigurationFollower(
            platform.queries,
            control,
            clock,
            ::peers,
            httpPeerConfigurationClient(client, settings.credentials.peer)
        )
    private val callerServer = HttpServer(
        eventLoops,
        HttpServerLimits(),
        observed("caller", callerApi(services, batches, platform.queries), telemetry),
    )
    private val peerServer = HttpServer(
        eventLoops,
        HttpServerLimits(),
        peerApi(
            settings.credentials.peer,
            fleet.handlers + (PEER_CONFIGURATION_PATH to peerConfigurationHandler(follower)),
        ),
    )
    private val operatorServer =
        HttpServer(
            eventLoops,
            HttpServerLimits(),
            operatorApi(operations(random), settings.credentials.operator),
        )

    /** Starts the listeners and the background loops. */
    fun start() {
        registerGauges(control, telemetry)
        fleet.start(startLoop)
        startLoop("configuration") { follower.pollTable() }
        startLoop("peers' configuration") { follower.pollPeers() }
        startLoop("leaving hosts") { pollLeavingHosts(platform.queries, control) }
        startLoop("journals") { runJournalMaintenance() }
        startLoop("batches") { runBatches(batches) }
        startLoop("slots") { slots.tickPeriodically() }
        callerServer.listen(settings.callerAddress.ip, settings.callerAddress.port)
        peerServer.listen(settings.peerAddress.ip, settings.peerAddress.port)
        operatorServer.listen(settings.operatorAddress.ip, settings.operatorAddress.port)
    }

    /** Performs a planned stop, which lets calls in progress finish for up to [DRAIN_TIMEOUT]. */
    suspend fun drain() {
        log.info { "draining, ${callerServer.activeCalls} calls in progress" }
        control.run { state, _ -> beginDrain(state) }
        fleet.membership.leaveFleet()
        callerServer.drain(DRAIN_GRACE, DRAIN_TIMEOUT)
        services.awaitWork(DRAIN_TIMEOUT)
        fleet.membership.deleteLease()
        log.info { "drained" }
    }

    override fun close() {
        scope.cancel()
        callerServer.close()
        peerServer.close()
        operatorServer.close()
        client.close()
        control.close()
    }

    private fun services(random: Random): Services = Services(
        control = control,
        clock = clock,
        newRequestId = requestIdGenerator(settings, clock, random),
        limits = fleet.rateLimiter(),
        journal = observed(groupJournal(control, platform, groupCommit), telemetry),
        records = tableRequestRecords(platform.queries),
        work = CoroutineScope(scope.coroutineContext + SupervisorJob(scope.coroutineContext.job)),
        ownership = fleet.ownership,
        dispatcher = observed(slots.dispatcher.withoutLeavingUpstreams(control), telemetry),
        upstreams = observed(httpUpstreams(client, settings), telemetry),
    )

    private fun peers(): List<Peer> = control.snapshot.fleet.ownership.otherHosts().map { Peer(it.host, it.address) }

    private suspend fun runJournalMaintenance() {
        services.maintainJournals(
            platform = platform,
            groups = groupCommit,
            fleet = JournalFleetView(
                isLeased = { control.snapshot.fleet.ownership.isLeased(clock()) },
                hostCount = { control.snapshot.fleet.ownership.hosts.size },
                lostHosts = { lostHosts(platform.queries, control) },
            ),
            newIncarnation = newIncarnation,
        )
    }

    private fun operations(random: Random) =
        OperatorServices(changing(random), services.records, telemetry.meters) { stopRequested.complete(Unit) }

    private fun changing(random: Random): ChangeServices = ChangeServices(
        store = ConfigurationStore(platform, control, clock),
        propagate = { change -> follower.peerConfiguration.propagate(change, peers()) },
        newChangeId = { ChangeId(random.nextLong().toULong().toString(ID_RADIX)) },
    )
}

private fun registerGauges(control: Control<ControlState>, telemetry: Telemetry) {
    telemetry.meters.gauge("figdeck.configuration.revision") { control.snapshot.index.revision.value }
    telemetry.meters.gauge("figdeck.configuration.age.seconds") {
        control.snapshot.confirmedAt?.let { (telemetry.clock() - it).inWholeMilliseconds / MILLIS_PER_SECOND }
            ?: Double.NaN
    }
    telemetry.meters.gauge("figdeck.shards.owned") { control.snapshot.fleet.ownership.owned.size }
    telemetry.meters.gauge("figdeck.hosts.known") { control.snapshot.fleet.ownership.hosts.size }
    telemetry.meters.gauge("figdeck.lease.age.seconds") {
        control.snapshot.fleet.ownership.held
            ?.let { (telemetry.clock() - it.sentAt).inWholeMilliseconds / MILLIS_PER_SECOND }
            ?: Double.NaN
    }
    telemetry.meters.gauge("figdeck.journal.waiting") { control.snapshot.journal.pending.size }
}

private fun httpUpstreams(client: HttpClient, settings: Settings): UpstreamCommands {
    val credential = settings.credentials.upstream
    return UpstreamCommands(
        generate = { generation, onDelta -> generateOverHttp(client, credential, generation, onDelta) },
        call = { upstream, request, call -> callOverHttp(client, credential, upstream, request, call) },
    )
}

/** Returns a generator of request ids that increase over time and are unique across hosts and restarts of a host. */
private fun requestIdGenerator(settings: Settings, clock: Clock, random: Random): () -> RequestId {
    val processTag = random.nextInt().toUInt().toString(ID_RADIX)
    val sequence = AtomicLong()
    return {
        val time = clock().epochMillis.toString(ID_RADIX)
        RequestId("$time.${settings.host}.$processTag.${sequence.incrementAndGet()}")
    }
}
