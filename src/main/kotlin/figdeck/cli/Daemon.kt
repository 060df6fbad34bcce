package figdeck.cli

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.initialState
import figdeck.control.releaseSlot
import figdeck.control.reserveSlot
import figdeck.control.takeToken
import figdeck.daemon.command.ConfigurationStore
import figdeck.daemon.command.Dispatcher
import figdeck.daemon.command.Limits
import figdeck.daemon.command.Ownership
import figdeck.daemon.command.Peer
import figdeck.daemon.command.Permit
import figdeck.daemon.command.Services
import figdeck.daemon.command.avoidLeaving
import figdeck.daemon.command.directJournal
import figdeck.daemon.command.httpPeerConfiguration
import figdeck.daemon.command.spread
import figdeck.daemon.query.Following
import figdeck.daemon.query.followHosts
import figdeck.daemon.query.followPeers
import figdeck.daemon.query.followTable
import figdeck.http.client.HttpClient
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.ABSENT
import figdeck.model.ChangeId
import figdeck.model.Clock
import figdeck.model.Epoch
import figdeck.model.Fence
import figdeck.model.RequestId
import figdeck.model.RowCheck
import figdeck.model.systemClock
import figdeck.platform.Platform
import figdeck.platform.PlatformHttp
import figdeck.platform.command.httpCommands
import figdeck.platform.query.httpQueries
import figdeck.traffic.callerApi
import figdeck.traffic.command.Changing
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

/** A running daemon: its parts, wired from [settings]. */
internal class Daemon(
    private val settings: Settings,
    private val group: EventLoopGroup,
    private val clock: Clock = systemClock,
    random: Random = Random.Default,
    private val peers: () -> List<Peer> = { emptyList() },
) : AutoCloseable {
    private val client = HttpClient(group)
    private val control = Control(initialState(settings.host), clock)
    private val platform = httpPlatform(client, settings)
    private val services = services(random)
    private val scope = CoroutineScope(group.next().asCoroutineDispatcher() + SupervisorJob())
    private val following =
        Following(platform.queries, control, clock, peers, httpPeerConfiguration(client, settings.credentials.peer))
    private val callerServer = HttpServer(group, HttpServerLimits(), callerApi(services, platform.queries))
    private val peerServer = HttpServer(group, HttpServerLimits(), peerApi(settings.credentials.peer, following))
    private val operatorServer =
        HttpServer(group, HttpServerLimits(), operatorApi(changing(random), settings.credentials.operator))

    /** Starts the listeners and the work that goes on by itself. */
    fun start() {
        scope.launch { following.followTable() }
        scope.launch { following.followPeers() }
        scope.launch { followHosts(platform.queries, control) }
        callerServer.listen(settings.callerAddress.ip, settings.callerAddress.port)
        peerServer.listen(settings.peerAddress.ip, settings.peerAddress.port)
        operatorServer.listen(settings.operatorAddress.ip, settings.operatorAddress.port)
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
        limits = Limits { team -> control.run { state, now -> takeToken(state, team, now) } },
        journal = directJournal(platform),
        ownership = soleOwnership(),
        dispatcher = localDispatcher(control).avoidLeaving(control),
        upstreams = httpUpstreams(client, settings),
    )

    private fun changing(random: Random): Changing = Changing(
        store = ConfigurationStore(platform, control, clock),
        spread = { change -> following.peerConfiguration.spread(change, peers()) },
        newChangeId = { ChangeId(random.nextLong().toULong().toString(radix = 36)) },
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

/** Every shard is this host's: fit for a fleet of one. */
private fun soleOwnership(): Ownership = Ownership(
    fenceOf = { shard -> Fence(Epoch(1), RowCheck("shard/$shard", ABSENT)) },
    ownerOf = { null },
)

/** Request ids that are unique across hosts and across restarts of one host. */
private fun requestIds(settings: Settings, random: Random): () -> RequestId {
    val start = random.nextLong().toULong().toString(radix = 36)
    val count = AtomicLong()
    return { RequestId("${settings.host}.$start.${count.incrementAndGet()}") }
}
