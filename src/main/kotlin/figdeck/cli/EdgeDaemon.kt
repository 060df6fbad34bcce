package figdeck.cli

import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.dispatch.HeadroomPolicy
import figdeck.command.dispatch.mostFreeSlotsChoice
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.beginDrain
import figdeck.control.serving.initialServingState
import figdeck.control.serving.updateSlots
import figdeck.daemon.command.LocalSlots
import figdeck.daemon.command.PeerClient
import figdeck.daemon.command.SlotDispatcher
import figdeck.daemon.command.jobs.ItemTimeEstimator
import figdeck.daemon.command.jobs.JobCache
import figdeck.daemon.command.jobs.JobServices
import figdeck.daemon.command.jobs.JobStore
import figdeck.daemon.command.jobs.ProgressStore
import figdeck.daemon.command.jobs.runJobs
import figdeck.daemon.command.serving.FleetPeers
import figdeck.daemon.command.serving.OnlineServices
import figdeck.daemon.command.serving.PeerBootstrap
import figdeck.daemon.command.serving.RemoteSlotOwners
import figdeck.daemon.command.serving.SlotClient
import figdeck.daemon.command.serving.SlotOwner
import figdeck.daemon.command.serving.TeamLimits
import figdeck.daemon.command.serving.bootstrapFromPeers
import figdeck.daemon.command.serving.httpFleetPeers
import figdeck.daemon.command.serving.keepMembership
import figdeck.daemon.command.serving.leaveMembership
import figdeck.daemon.query.serving.FollowedRowCache
import figdeck.daemon.query.serving.TableFollower
import figdeck.daemon.query.serving.follow
import figdeck.daemon.query.serving.jobFollower
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
import figdeck.platform.decodePlan
import figdeck.platform.decodeUpstream
import figdeck.platform.gatewayHandler
import figdeck.platform.httpItemForwarder
import figdeck.platform.readinessHandler
import figdeck.telemetry.Meters
import figdeck.telemetry.Telemetry
import figdeck.telemetry.createTracer
import figdeck.telemetry.observed
import figdeck.traffic.command.fleetServingHandlers
import figdeck.traffic.peerApi
import figdeck.wire.serving.JOB_TABLE
import figdeck.wire.serving.StoreView
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
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
private const val OK = 200

/** How long new connections are still taken after the readiness turned: two questions a second apart, and one more. */
private val LEAVE_ROTATION = 3.seconds

/** How long before the platform ends the process the stop must be over. */
private val STOP_MARGIN = 700.milliseconds

/** A connection to an upstream that isn't open by then is tried elsewhere; several round trips between data centres. */
private val UPSTREAM_CONNECT = 300.milliseconds
private val PEER_CONNECT = 150.milliseconds
private val STORE_CONNECT = 500.milliseconds

/** The least time between two readings of a table that changes all the time. */
private val JOB_PACE = 150.milliseconds
private val PROMPT_PACE = 20.milliseconds
private val IDLE_LIMITS = HttpServerLimits(headerTimeout = 120.seconds)

/**
 * How slots are given out. A holder elsewhere hears of a revocation after a way between data centres, and the engine
 * queues what comes meanwhile, so that batch work which leaves within the time counts as no delay.
 */
private val edgePolicy = DispatchPolicy(
    choose = mostFreeSlotsChoice,
    headroom = HeadroomPolicy(revokeGrace = 150.milliseconds),
    deadlineMargin = 0.0,
)

/** A running daemon on the users' platform: its parts, wired from [settings]. */
internal class EdgeDaemon(
    private val settings: EdgeSettings,
    private val group: EventLoopGroup,
    private val clock: Clock = systemClock,
    private val random: Random = Random.Default,
) : AutoCloseable {
    /** Completes when a planned stop is asked for. */
    val stopRequested = CompletableDeferred<Unit>()
    private val telemetry = Telemetry(Meters(), createTracer(settings.host.value, null), clock)
    private val control = Control(initialServingState(self()), clock) { delay ->
        telemetry.meters.recordTime("figdeck.control.delay", delay)
    }
    private val scope = CoroutineScope(group.next().asCoroutineDispatcher() + SupervisorJob())
    private val seen = FollowedRowCache()
    private val upstreams = HttpClient(group, UPSTREAM_CONNECT)
    private val peerClient = HttpClient(group, PEER_CONNECT)
    private val storeClient = HttpClient(group, STORE_CONNECT)
    private val platform = StoreClient(storeClient, settings.storeAddress)
    private val store = observed(platform.store, telemetry)
    private val peers = httpFleetPeers(PeerClient(peerClient, settings.fleetName))
    private val slots = SlotDispatcher(ownSlots(), edgePolicy, random)
    private val owner = SlotOwner(slots, control, clock) { host, ticket -> revoke(host, ticket) }
    private val poolSlots: SlotClient = SlotClient(control, clock, owner, RemoteSlotOwners(control, peers), scope)
    private val limits = TeamLimits(control, clock, peers, DecisionLog("limits"))
    private val online = OnlineServices(clock, limits, poolSlots, random, DecisionLog("serve"))
    private val jobs = JobServices(
        control = control,
        clock = clock,
        store = JobStore(store),
        progress = ProgressStore(store),
        cache = JobCache(),
        timeEstimator = ItemTimeEstimator(),
        slots = poolSlots,
        forward = httpItemForwarder(upstreams),
        random = random,
        log = DecisionLog("jobs"),
    )
    private val front = server(observed("caller", gatewayHandler(gatewayServices()), telemetry))
    private val readiness = server(readinessHandler(control))
    private val peerServer = server(peerApi(settings.fleetName, fleetServingHandlers(owner, poolSlots, limits, ::view)))
    private val metrics = server { _, responder ->
        responder.respond(OK, newHeaders(), telemetry.meters.scrape().encodeToByteArray())
    }

    /** Starts the listeners and the work that goes on by itself. */
    fun start() {
        val decisions = DecisionLog("follow")
        val plans = planFollower(control, ::decodePlan, decisions)
        val readUpstream = upstreamReader(::decodeUpstream)
        follow(PLAN_TABLE, PROMPT_PACE, seen.recording(PLAN_TABLE, plans))
        follow(UPSTREAM_TABLE, PROMPT_PACE, seen.recording(UPSTREAM_TABLE, poolFollower(control, readUpstream, decisions)))
        follow(JOB_TABLE, JOB_PACE, jobFollower(control))
        scope.launch { control.bootstrapFromPeers(peers, PeerBootstrap(settings.seeds, plans, readUpstream), clock) }
        scope.launch { control.keepMembership(store, platform.feed, clock, random) }
        scope.launch { slots.tickPeriodically() }
        scope.launch { owner.releaseUnconfirmed() }
        scope.launch { poolSlots.confirmHeldSlots() }
        scope.launch { jobs.runJobs() }
        peerServer.listen(settings.peerAddress.ip, settings.peerAddress.port)
        front.listen(settings.callerAddress.ip, settings.callerAddress.port)
        readiness.listen(settings.readinessAddress.ip, settings.readinessAddress.port)
        metrics.listen(settings.callerAddress.ip, settings.metricsPort)
    }

    /** Stops as planned: leaves the balancer's rotation first, and cuts no call in progress. */
    suspend fun drain() {
        val startedAt = clock()
        val limit = settings.grace - STOP_MARGIN
        log.info { "stopping: ${front.activeCalls} calls in progress" }
        control.run { state, _ -> beginDrain(state) }
        front.announceDrain()
        scope.launch { control.leaveMembership(store) }
        delay(minOf(LEAVE_ROTATION, limit / 2))
        front.drain(Duration.ZERO, limit - (clock() - startedAt))
        log.info { "stopped: ${front.activeCalls} calls in progress" }
    }

    override fun close() {
        scope.cancel()
        listOf(front, readiness, peerServer, metrics).forEach { it.close() }
        listOf(upstreams, peerClient, storeClient).forEach { it.close() }
        control.close()
    }

    private fun self(): FleetMember = FleetMember(
        host = settings.host,
        address = settings.peerAddress,
        dataCentre = settings.dataCentre,
        incarnation = random.nextLong().toULong().toString(ID_RADIX),
        joinedAtMillis = 0,
        renewedAtMillis = 0,
        cores = settings.cores,
    )

    private fun view(): StoreView {
        val fleet = control.snapshot.fleet
        return StoreView(
            plans = seen.rows(PLAN_TABLE),
            upstreams = seen.rows(UPSTREAM_TABLE),
            members = fleet.scan?.members.orEmpty(),
            storeMillis = fleet.scan?.storeMillisAt(clock()),
        )
    }

    private fun server(handler: HttpHandler): HttpServer = HttpServer(group, IDLE_LIMITS, handler)

    private fun gatewayServices() = GatewayServices(control, online, JobApi(jobs), upstreams)

    private fun ownSlots() = LocalSlots(
        now = { control.snapshot.slots },
        decide = { decision -> control.run { state: ServingState, now -> updateSlots(state) { decision(it, now) } } },
    )

    private fun follow(table: String, pace: Duration, follower: TableFollower) {
        scope.launch { platform.feed.follow(table, random, pace, follower) }
    }

    private fun revoke(host: HostId, ticket: Long) {
        val member = control.snapshot.fleet.scan?.members?.find { it.host == host }
        when {
            host == settings.host -> poolSlots.revoke(listOf(ticket))
            member == null -> log.warn { "host $host is unknown: slot $ticket could not be taken back" }
            else -> scope.launch { tellRevoked(peers, member, ticket) }
        }
    }
}

private suspend fun tellRevoked(peers: FleetPeers, holder: FleetMember, ticket: Long) {
    if (!peers.revoke(holder.address, listOf(ticket))) {
        log.warn { "host ${holder.host} was not told to give slot $ticket back" }
    }
}
