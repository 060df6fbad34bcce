package figdeck.cli

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.beginDrain
import figdeck.control.initialState
import figdeck.control.releaseSlot
import figdeck.control.reserveSlot
import figdeck.daemon.command.Dispatcher
import figdeck.daemon.command.Permit
import figdeck.daemon.command.Services
import figdeck.daemon.command.directJournal
import figdeck.daemon.command.endLease
import figdeck.daemon.command.leaveFleet
import figdeck.daemon.query.followConfiguration
import figdeck.http.client.HttpClient
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.log.PartLog
import figdeck.model.Clock
import figdeck.model.RequestId
import figdeck.model.systemClock
import figdeck.platform.Platform
import figdeck.platform.PlatformHttp
import figdeck.platform.command.httpCommands
import figdeck.platform.query.httpQueries
import figdeck.traffic.callerApi
import figdeck.traffic.operatorApi
import figdeck.traffic.peerApi
import figdeck.upstream.command.UpstreamCommands
import figdeck.upstream.command.callOverHttp
import figdeck.upstream.command.generateOverHttp
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val log = PartLog("daemon")
private val DRAIN_GRACE = 2.seconds

/** The longest time that a planned stop waits for calls in progress. */
internal val DRAIN_LIMIT = 150.seconds

/** A running daemon: its parts, wired from [settings]. */
internal class Daemon(
    private val settings: Settings,
    private val group: EventLoopGroup,
    private val clock: Clock = systemClock,
    random: Random = Random.Default,
) : AutoCloseable {
    private val client = HttpClient(group)
    private val control = Control(initialState(settings.identity()), clock)
    private val platform = httpPlatform(client, settings)
    private val scope = CoroutineScope(group.next().asCoroutineDispatcher() + SupervisorJob())
    private val fleet = FleetWiring(control, clock, scope, peerCalls(client, settings), platform, random)
    private val services = services(random)
    private val callerServer = HttpServer(group, HttpServerLimits(), callerApi(services, platform.queries))
    private val peerServer = HttpServer(group, HttpServerLimits(), peerApi(settings.credentials.peer, fleet.handlers))
    private val operatorServer =
        HttpServer(group, HttpServerLimits(), operatorApi(control, platform, settings.credentials.operator))

    /** Starts the listeners and the work that goes on by itself. */
    fun start() {
        scope.launch { followConfiguration(platform, control, clock) }
        fleet.start()
        callerServer.listen(settings.callerAddress.ip, settings.callerAddress.port)
        peerServer.listen(settings.peerAddress.ip, settings.peerAddress.port)
        operatorServer.listen(settings.operatorAddress.ip, settings.operatorAddress.port)
    }

    /** Stops as planned: no call in progress is cut. */
    suspend fun drain() {
        log.info { "draining, ${callerServer.activeCalls} calls in progress" }
        control.run { state, _ -> beginDrain(state) }
        fleet.parts.leaveFleet()
        callerServer.drain(DRAIN_GRACE, DRAIN_LIMIT)
        fleet.parts.endLease()
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
        newRequestId = requestIds(settings, random),
        limits = fleet.limits(),
        journal = directJournal(platform),
        ownership = fleet.ownership,
        dispatcher = localDispatcher(control),
        upstreams = httpUpstreams(client, settings),
    )
}

private fun httpPlatform(client: HttpClient, settings: Settings): Platform {
    val http = PlatformHttp(client, settings.platformAddress)
    return Platform(httpCommands(http), httpQueries(http))
}

private fun httpUpstreams(client: HttpClient, settings: Settings): UpstreamCommands {
    val credential = settings.credentials.upstream
    return UpstreamCommands(
        generate = { generation, onDelta -> generateOverHttp(client, credential, generation, onDelta) },
        call = { upstream, request, call -> callOverHttp(client, credential, upstream, request, call) },
    )
}

private fun localDispatcher(control: Control<ControlState>): Dispatcher {
    val count = AtomicLong()
    return Dispatcher(
        acquire = { request ->
            control.run { state, _ -> reserveSlot(state, request.candidates) }
                .map { Permit(count.incrementAndGet(), it, CompletableDeferred()) }
        },
        release = { permit, _, _ -> control.run { state, _ -> releaseSlot(state, permit.upstream.id) } },
    )
}

/** Request ids that are unique across hosts and across restarts of one host. */
private fun requestIds(settings: Settings, random: Random): () -> RequestId {
    val start = random.nextLong().toULong().toString(radix = 36)
    val count = AtomicLong()
    return { RequestId("${settings.host}.$start.${count.incrementAndGet()}") }
}
