package figdeck.cli

import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.HeadroomPolicy
import figdeck.command.dispatch.expectedCompletionChoice
import figdeck.command.dispatch.mostFreeSlotsChoice
import figdeck.command.serving.bodyMemoryLimits
import figdeck.command.serving.jobMemoryLimits
import figdeck.command.serving.planStop
import figdeck.command.serving.responseMemoryLimits
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.beginStop
import figdeck.control.serving.coldUpstreams
import figdeck.control.serving.initialServingState
import figdeck.control.serving.limitedUpstreams
import figdeck.daemon.command.LoopSupervision
import figdeck.daemon.command.PeerClient
import figdeck.daemon.command.SlotDispatcher
import figdeck.daemon.command.fatalErrorHandler
import figdeck.daemon.command.jobs.ItemTimeEstimator
import figdeck.daemon.command.jobs.JobCache
import figdeck.daemon.command.jobs.JobClearing
import figdeck.daemon.command.jobs.JobMemory
import figdeck.daemon.command.jobs.JobServices
import figdeck.daemon.command.jobs.JobStore
import figdeck.daemon.command.jobs.ProgressStore
import figdeck.daemon.command.jobs.acceptRelayed
import figdeck.daemon.command.jobs.clearJobs
import figdeck.daemon.command.jobs.keptFor
import figdeck.daemon.command.jobs.runJobs
import figdeck.daemon.command.serving.BodiesInFlight
import figdeck.daemon.command.serving.BodyMemory
import figdeck.daemon.command.serving.CallsInProgress
import figdeck.daemon.command.serving.CrashGuard
import figdeck.daemon.command.serving.CrashRiskWriter
import figdeck.daemon.command.serving.FleetPeers
import figdeck.daemon.command.serving.OnlineServices
import figdeck.daemon.command.serving.PeerBootstrap
import figdeck.daemon.command.serving.RemoteSlotOwners
import figdeck.daemon.command.serving.SlotClient
import figdeck.daemon.command.serving.SlotOwner
import figdeck.daemon.command.serving.SlotPlacement
import figdeck.daemon.command.serving.TeamLimits
import figdeck.daemon.command.serving.bootstrapFromPeers
import figdeck.daemon.command.serving.completionPlacement
import figdeck.daemon.command.serving.httpFleetPeers
import figdeck.daemon.command.serving.keepMembership
import figdeck.daemon.command.serving.leaveMembership
import figdeck.daemon.command.serving.maintainPools
import figdeck.daemon.command.serving.notePlacement
import figdeck.daemon.command.serving.observeSlotRefusals
import figdeck.daemon.command.serving.ownSlots
import figdeck.daemon.command.startIn
import figdeck.daemon.query.serving.EvacuationFollower
import figdeck.daemon.query.serving.FollowedRowCache
import figdeck.daemon.query.serving.TableFollower
import figdeck.daemon.query.serving.crashRiskFollower
import figdeck.daemon.query.serving.follow
import figdeck.daemon.query.serving.followedBy
import figdeck.daemon.query.serving.jobFollower
import figdeck.daemon.query.serving.logColdUpstreams
import figdeck.daemon.query.serving.logLimitedUpstreams
import figdeck.daemon.query.serving.planFollower
import figdeck.daemon.query.serving.poolFollower
import figdeck.daemon.query.serving.upstreamReader
import figdeck.http.client.HttpClient
import figdeck.http.newHeaders
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.log.DecisionLog
import figdeck.log.PartLog
import figdeck.model.Clock
import figdeck.model.HostId
import figdeck.model.serving.FleetMember
import figdeck.model.serving.storeMillisAt
import figdeck.model.systemClock
import figdeck.platform.GatewayServices
import figdeck.platform.JobApi
import figdeck.platform.PLAN_TABLE
import figdeck.platform.StoreClient
import figdeck.platform.UPSTREAM_TABLE
import figdeck.platform.callerResponseRoom
import figdeck.platform.decodeEvacuationKey
import figdeck.platform.decodePlan
import figdeck.platform.decodeUpstream
import figdeck.platform.expectedWeightsOf
import figdeck.platform.gatewayHandler
import figdeck.platform.httpItemForwarder
import figdeck.platform.itemFeaturesOf
import figdeck.platform.readinessHandler
import figdeck.platform.sendFaultOf
import figdeck.platform.sharedPartsOf
import figdeck.query.serving.jobPollInterval
import figdeck.query.serving.label
import figdeck.query.serving.liveMembers
import figdeck.telemetry.Meters
import figdeck.telemetry.Telemetry
import figdeck.telemetry.countRelayedJob
import figdeck.telemetry.createTracer
import figdeck.telemetry.observed
import figdeck.telemetry.updateEvacuations
import figdeck.traffic.command.fleetServingHandlers
import figdeck.traffic.peerApi
import figdeck.wire.serving.CRASH_RISK_TABLE
import figdeck.wire.serving.JOB_TABLE
import figdeck.wire.serving.StoreView
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = PartLog("daemon")
private const val ID_RADIX = 36
private const val HTTP_OK = 200

/** How long the final answers of requests that a planned stop ends may take. */
private val FINAL_ANSWER_TIMEOUT = 200.milliseconds

/**
 * The connect timeout for upstreams, after which a request is tried at another one. It covers several round trips
 * between data centres.
 */
private val UPSTREAM_CONNECT_TIMEOUT = 300.milliseconds
private val PEER_CONNECT_TIMEOUT = 150.milliseconds
private val STORE_CONNECT_TIMEOUT = 500.milliseconds

private val MIN_CONFIGURATION_POLL_INTERVAL = 20.milliseconds
private val SERVER_LIMITS = HttpServerLimits(headerTimeout = 120.seconds)

/**
 * What the system holds for a caller or an upstream that doesn't read; Linux doubles it. By itself it holds 1.6 to
 * 2.7 MB for each on a fast link. A sound caller of a stream leaves a few kilobytes unread.
 */
private const val SEND_BUFFER_BYTES = 64 * 1024

/**
 * How slots are assigned. A revocation reaches a slot holder on another host only after the network delay between data
 * centres, and the engine queues the requests that arrive meanwhile. Batch work that releases its slot within
 * `revokeGrace` therefore does not count as delaying online work.
 */
private fun dispatchPolicy(placement: Placement) = DispatchPolicy(
    choose = mostFreeSlotsChoice,
    headroom = HeadroomPolicy(revokeGrace = 150.milliseconds),
    deadlineMargin = 0.0,
    completionChoice = if (placement == Placement.EXPECTED_COMPLETION) expectedCompletionChoice else null,
    shareByHeldWork = placement == Placement.EXPECTED_COMPLETION,
)

/** A daemon on the users' platform, with its components built from [settings]. */
internal class EdgeDaemon(
    private val settings: EdgeSettings,
    private val eventLoops: EventLoopGroup,
    private val clock: Clock = systemClock,
    private val random: Random = Random.Default,
    supervision: LoopSupervision = LoopSupervision(::endProcess),
) : AutoCloseable {
    /** Completes when a planned stop is requested. */
    val stopRequested = CompletableDeferred<Unit>()
    private val telemetry = Telemetry(Meters(), createTracer(settings.host.value, null), clock)
    private val control = Control(initialServingState(ownMember(), settings.knownRegions()), clock) { delay ->
        telemetry.meters.recordTime("figdeck.control.delay", delay)
    }
    private var membership: Job? = null
    private val scope = CoroutineScope(
        eventLoops.next().asCoroutineDispatcher() + SupervisorJob() + fatalErrorHandler(supervision.onFatal),
    )
    private val startLoop = supervision.startIn(scope)
    private val rowCache = FollowedRowCache()
    private val upstreamClient = HttpClient(eventLoops, UPSTREAM_CONNECT_TIMEOUT, SEND_BUFFER_BYTES)
    private val peerClient = HttpClient(eventLoops, PEER_CONNECT_TIMEOUT)
    private val storeClient = HttpClient(eventLoops, STORE_CONNECT_TIMEOUT)
    private val platform = StoreClient(storeClient, settings.storeAddress)
    private val store = observed(platform.store, telemetry)
    private val peers = httpFleetPeers(PeerClient(peerClient, settings.fleetName))
    private val placementLog = DecisionLog("placement")
    private val policy = dispatchPolicy(settings.placement)
    private val slots = SlotDispatcher(
        ownSlots(control, telemetry.meters.observeSlotRefusals()) { placementLog.notePlacement(it, clock()) },
        policy,
        random,
    )
    private val placement = when (settings.placement) {
        Placement.FREE_SLOTS -> SlotPlacement()
        Placement.EXPECTED_COMPLETION -> completionPlacement(control, clock, policy, telemetry.meters)
    }
    private val work = workEstimator(settings.placement, control, clock, telemetry.meters)
    private val slotOwner =
        SlotOwner(slots, control, clock, placement, work) { host, ticket -> revoke(host, ticket) }
    private val slotClient: SlotClient = SlotClient(control, clock, slotOwner, RemoteSlotOwners(control, peers), scope)
    private val teamLimits = TeamLimits(control, clock, peers, DecisionLog("limits"))
    private val crashRiskWriter = CrashRiskWriter(control, clock, store)
    private val crashGuard = CrashGuard(control, clock, crashRiskWriter, random, DecisionLog("prompts"))
    private val calls = CallsInProgress()
    private val online = OnlineServices(
        clock = clock,
        limits = teamLimits,
        slots = slotClient,
        crashGuard = crashGuard,
        random = random,
        log = DecisionLog("serve"),
        calls = calls,
        countFailedSend = { telemetry.meters.countFailedSend(it.label) },
        countHomeRefusal = { telemetry.meters.count("figdeck.home.refusals") },
    )
    private val heapBytes = Runtime.getRuntime().maxMemory()
    private val bodiesInFlight = BodiesInFlight()
    private val memoryLimits = jobMemoryLimits(heapBytes)
    private val jobs = JobServices(
        control = control,
        clock = clock,
        store = JobStore(store),
        progress = ProgressStore(store),
        cache = JobCache(memoryLimits.cached),
        memory = JobMemory(memoryLimits),
        timeEstimator = ItemTimeEstimator(),
        slots = slotClient,
        crashGuard = crashGuard,
        forward = httpItemForwarder(upstreamClient, bodiesInFlight),
        random = random,
        log = DecisionLog("jobs"),
        sharedParts = ::sharedPartsOf,
        sendFault = ::sendFaultOf,
        relaySubmission = { member, submission ->
            peers.relayJob(member.address, submission).also { telemetry.meters.countRelayedJob(it) }
        },
        features = ::itemFeaturesOf,
        expectedWeights = ::expectedWeightsOf,
        countMisdirected = { telemetry.meters.countFailedSend(it.label) },
    )
    private val callerServer = HttpServer(
        eventLoops,
        SERVER_LIMITS.copy(
            responseRoom = callerResponseRoom(
                responseMemoryLimits(heapBytes),
                DecisionLog("serve"),
                { telemetry.meters.count("figdeck.slow.readers") },
            ),
            sendBufferBytes = SEND_BUFFER_BYTES,
        ),
        observed("caller", gatewayHandler(gatewayServices()), telemetry),
    )
    private val readinessServer = server(readinessHandler(control))
    private val peerServer = server(
        peerApi(
            settings.fleetName,
            fleetServingHandlers(slotOwner, slotClient, teamLimits, ::storeView) { jobs.acceptRelayed(it) },
        ),
    )
    private val metricsServer = server { _, responder ->
        telemetry.meters.updateEvacuations(control.snapshot)
        responder.respond(HTTP_OK, newHeaders(), telemetry.meters.scrape().encodeToByteArray())
    }

    init {
        telemetry.meters.gauge("figdeck.responses.held.bytes") { callerServer.unreadResponseBytes }
    }

    /** Starts the listeners and the background loops. */
    fun start() {
        val decisionLog = DecisionLog("follow")
        val evacuations = EvacuationFollower(control, ::decodeEvacuationKey, decisionLog) { evacuated ->
            slots.withdraw { it.dataCentre in evacuated }
        }
        val planTableFollower = planFollower(control, ::decodePlan, decisionLog)
        val readUpstream = upstreamReader(::decodeUpstream)
        launchFollower(
            PLAN_TABLE,
            { MIN_CONFIGURATION_POLL_INTERVAL },
            // The evacuations of a snapshot are in force before its plan, which makes this host ready.
            rowCache.recording(PLAN_TABLE, evacuations.follower.followedBy(planTableFollower)),
        )
        launchFollower(
            UPSTREAM_TABLE,
            { MIN_CONFIGURATION_POLL_INTERVAL },
            rowCache.recording(UPSTREAM_TABLE, poolFollower(control, readUpstream, decisionLog)),
        )
        val jobInterval = { jobPollInterval(control.snapshot.fleet.liveMembers().size) }
        launchFollower(JOB_TABLE, jobInterval, jobFollower(control))
        launchFollower(CRASH_RISK_TABLE, jobInterval, crashRiskFollower(control, crashGuard::onReports))
        startLoop("bootstrap") {
            val bootstrap =
                PeerBootstrap(settings.seeds, evacuations::adoptFromPeer, planTableFollower, readUpstream)
            control.bootstrapFromPeers(peers, bootstrap, clock)
        }
        membership = startLoop("membership") { control.keepMembership(store, platform.feed, clock, random) }
        startLoop("pools") { control.maintainPools() }
        startLoop("cold upstreams") { control.logColdUpstreams(clock, decisionLog) }
        startLoop("limited upstreams") { control.logLimitedUpstreams(clock, decisionLog) }
        registerLimitMetrics(telemetry.meters, control, clock)
        startLoop("slots") { slots.tickPeriodically() }
        startLoop("granted slots") { slotOwner.releaseUnconfirmed() }
        startLoop("held slots") { slotClient.confirmHeldSlots() }
        startLoop("jobs") { jobs.runJobs() }
        settings.resultRetention?.let { retention ->
            val clearing = JobClearing(platform.feed, store, keptFor(retention)) {
                telemetry.meters.count("figdeck.jobs.cleared")
            }
            startLoop("finished jobs") { jobs.clearJobs(clearing) }
        }
        startLoop("prompt reports") { crashRiskWriter.writeRows() }
        peerServer.listen(settings.peerAddress.ip, settings.peerAddress.port)
        callerServer.listen(settings.callerAddress.ip, settings.callerAddress.port)
        readinessServer.listen(settings.readinessAddress.ip, settings.readinessAddress.port)
        metricsServer.listen(settings.callerAddress.ip, settings.metricsPort)
    }

    /**
     * Performs a planned stop: first fails the readiness check, so that the load balancer takes this host out of
     * rotation, then lets calls in progress finish. From the start on, a request is accepted only if it is sure to be
     * answered before the stop ends. Calls that are still in progress then get their final answer. Until then this host
     * stays a member of the fleet, since others ask it for the slots and limits that it owns.
     */
    suspend fun drain() {
        log.info { "stopping: ${callerServer.activeCalls} calls in progress" }
        val stop = control.run { state, now -> beginStop(state, planStop(settings.terminationGrace, now)) }
        callerServer.announceDrain()
        delay(stop.leavesRotationAt - clock())
        callerServer.drain(Duration.ZERO, stop.endsAt - clock())
        if (callerServer.activeCalls > 0) {
            log.warn { "ending ${callerServer.activeCalls} calls that are still in progress" }
            calls.endAll()
            callerServer.drain(Duration.ZERO, FINAL_ANSWER_TIMEOUT)
        }
        control.leaveMembership(store, renewals = membership)
        log.info { "stopped: ${callerServer.activeCalls} calls in progress" }
    }

    override fun close() {
        scope.cancel()
        listOf(callerServer, readinessServer, peerServer, metricsServer).forEach { it.close() }
        listOf(upstreamClient, peerClient, storeClient).forEach { it.close() }
        control.close()
    }

    private fun ownMember(): FleetMember = FleetMember(
        host = settings.host,
        address = settings.peerAddress,
        dataCentre = settings.dataCentre,
        incarnation = random.nextLong().toULong().toString(ID_RADIX),
        joinedAtMillis = 0,
        renewedAtMillis = 0,
        cores = settings.cores,
    )

    private fun storeView(): StoreView {
        val fleet = control.snapshot.fleet
        return StoreView(
            plans = rowCache.rows(PLAN_TABLE),
            upstreams = rowCache.rows(UPSTREAM_TABLE),
            members = fleet.scan?.members.orEmpty(),
            storeMillis = fleet.scan?.storeMillisAt(clock()),
        )
    }

    private fun server(handler: HttpHandler): HttpServer = HttpServer(eventLoops, SERVER_LIMITS, handler)

    private fun gatewayServices() = GatewayServices(
        control = control,
        online = online,
        jobs = JobApi(jobs),
        client = upstreamClient,
        bodies = BodyMemory(bodyMemoryLimits(heapBytes), clock),
        bodiesInFlight = bodiesInFlight,
    )

    private fun launchFollower(table: String, minInterval: () -> Duration, follower: TableFollower) {
        startLoop("table $table") { platform.feed.follow(table, random, minInterval, follower) }
    }

    private fun revoke(host: HostId, ticket: Long) {
        val member = control.snapshot.fleet.scan?.members?.find { it.host == host }
        when {
            host == settings.host -> slotClient.revoke(listOf(ticket))
            member == null -> log.warn { "host $host is not a known member: cannot revoke slot ticket $ticket" }
            else -> scope.launch { sendRevocation(peers, member, ticket) }
        }
    }
}

private fun registerLimitMetrics(meters: Meters, control: Control<ServingState>, clock: Clock) {
    meters.gauge("figdeck.cold.upstreams") { coldUpstreams(control.snapshot, clock()).size }
    meters.counter("figdeck.cold.held.back") { control.snapshot.slots.heldBack }
    meters.gauge("figdeck.limited.upstreams") { control.snapshot.limitedUpstreams(clock()).count { it.limit != null } }
    meters.counter("figdeck.limited.held.back") { control.snapshot.slots.heldBackByRate }
}

private suspend fun sendRevocation(peers: FleetPeers, holder: FleetMember, ticket: Long) {
    if (!peers.revoke(holder.address, listOf(ticket))) {
        log.warn { "host ${holder.host} did not acknowledge the revocation of slot ticket $ticket" }
    }
}
