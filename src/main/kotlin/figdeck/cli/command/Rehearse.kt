package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import figdeck.cli.Figdeck
import figdeck.cli.newEventLoops
import figdeck.daemon.query.serving.PLAN_KEY
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.systemClock
import figdeck.platform.ATTEMPT_ID_HEADER
import figdeck.platform.BATCH_KIND
import figdeck.platform.IDEMPOTENT_KIND
import figdeck.platform.ITEM_BODY_PATH
import figdeck.platform.ItemMessage
import figdeck.platform.PLAN_TABLE
import figdeck.platform.PlanMessage
import figdeck.platform.RESULTS_PATH
import figdeck.platform.RouteMessage
import figdeck.platform.STREAM_KIND
import figdeck.platform.StoreClient
import figdeck.platform.SubmissionMessage
import figdeck.platform.TeamMessage
import figdeck.platform.UPSTREAM_TABLE
import figdeck.platform.encodePlan
import figdeck.platform.encodeSubmission
import figdeck.standin.PlatformStandIn
import figdeck.standin.RunnerStandIn
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LOOPBACK = "127.0.0.1"
private const val HTTP_OK = 200
private const val MAX_REPLY_BYTES = 1024 * 1024
private const val MAX_READINESS_CHECKS = 200
private val READINESS_CHECK_INTERVAL = 20.milliseconds
private const val UPSTREAM = "rehearsal-1"
private const val POOL = "pool"
private const val CALLER_KEY = "key"
private const val JOB_ID = "rehearsal"
private const val HOST = "localhost"

/** Has a route of each kind. */
private val plan = PlanMessage(
    version = 1,
    routes = listOf(
        route("/desk/", IDEMPOTENT_KIND),
        route("/chat/", STREAM_KIND).copy(resumable = true),
        route("/notes/", BATCH_KIND).copy(dueMillis = 18_000.0, abandonSeconds = 60.0),
    ),
    teams = listOf(TeamMessage("rehearsal", listOf(CALLER_KEY), ratePerSecond = 50.0, burst = 50.0)),
)
private val submission = SubmissionMessage(listOf(ItemMessage("item", "/notes/1", tokens = 1)))

private fun route(prefix: String, kind: String) = RouteMessage(
    name = prefix,
    host = HOST,
    prefix = prefix,
    kind = kind,
    pool = POOL,
    timeoutMillis = 5_000.0,
    objectiveMillis = 1_000.0,
    maxAttempts = 2,
)

/**
 * Runs the edge command from its arguments to its planned stop, with stand-ins around it and one request of each kind,
 * so that the build can archive the classes that a daemon loads.
 */
internal class Rehearse : CliktCommand("rehearse") {
    override val hiddenFromHelp: Boolean = true

    override fun help(context: Context): String = "Serve sample requests with stand-ins for the build's class archive."

    override fun run() {
        val eventLoops = newEventLoops()
        val store = HttpServer(eventLoops, HttpServerLimits(), PlatformStandIn(systemClock).handler).listen(LOOPBACK, 0)
        val addresses = RehearsalAddresses(store, freeAddress(), freeAddress(), freeAddress(), freeAddress().port)
        thread(isDaemon = true) { sendSampleRequests(eventLoops, addresses) }
        Figdeck().subcommands(Edge()).parse(addresses.toEdgeArguments())
    }

    private fun sendSampleRequests(eventLoops: EventLoopGroup, addresses: RehearsalAddresses) {
        try {
            RunnerStandIn(eventLoops, UPSTREAM).use { upstream ->
                HttpClient(eventLoops).use { client ->
                    runBlocking {
                        client.storePlanAndUpstream(addresses.store, upstream)
                        client.sendSampleRequests(addresses)
                    }
                }
            }
        } finally {
            // Also after a failure, so that the build does not wait for the daemon to end.
            Signal.raise(Signal("TERM"))
        }
    }

    private suspend fun HttpClient.storePlanAndUpstream(store: Address, upstream: RunnerStandIn) {
        val rows = listOf(
            RowWrite("$PLAN_TABLE/$PLAN_KEY", encodePlan(plan)),
            RowWrite("$UPSTREAM_TABLE/$UPSTREAM", upstream.encodeEntry(POOL)),
        )
        StoreClient(this, store).store.commands.commit(TableTransaction(emptyList(), rows))
    }

    private suspend fun HttpClient.sendSampleRequests(addresses: RehearsalAddresses) {
        repeat(MAX_READINESS_CHECKS) {
            if (send(addresses.readiness, "GET", "/") != HTTP_OK) {
                delay(READINESS_CHECK_INTERVAL)
            }
        }
        val caller = addresses.caller
        send(caller, "POST", "/desk/1", "hello")
        send(caller, "POST", "/chat/1", "hello")
        send(caller, "POST", "/notes/1", encodeSubmission(submission))
        delay(1.seconds)
        send(caller, "GET", RESULTS_PATH + JOB_ID)
        send(caller, "GET", "$ITEM_BODY_PATH$JOB_ID")
        send(caller, "DELETE", RESULTS_PATH + JOB_ID)
        send(Address(LOOPBACK, addresses.metricsPort), "GET", "/metrics")
        send(addresses.peer, "POST", "/peer/view")
    }

    private suspend fun HttpClient.send(address: Address, method: String, target: String, body: String = ""): Int? {
        val headers = newHeaders()
            .set(HttpHeaderNames.HOST, HOST)
            .set(HttpHeaderNames.AUTHORIZATION, "Bearer $CALLER_KEY")
            .set(ATTEMPT_ID_HEADER, JOB_ID)
        return exchange(
            OutgoingRequest(address, RequestLine(method, target), headers, body.encodeToByteArray())
        ) { reply ->
            reply.body.readAll(MAX_REPLY_BYTES)
            reply.status
        }.getOrNull()
    }

    private fun freeAddress(): Address = ServerSocket(0).use { Address(LOOPBACK, it.localPort) }
}

/** Where the rehearsed daemon finds the [store] and listens. */
private data class RehearsalAddresses(
    val store: Address,
    val caller: Address,
    val readiness: Address,
    val peer: Address,
    val metricsPort: Int,
)

private fun RehearsalAddresses.toEdgeArguments(): List<String> = listOf(
    "edge",
    "--host=rehearsal",
    "--data-centre=centre-a",
    "--caller-address=$caller",
    "--readiness-address=$readiness",
    "--peer-address=$peer",
    "--store-address=$store",
    "--metrics-port=$metricsPort",
    "--grace-seconds=1",
    "--fleet-name=rehearsal",
    "--seeds=$peer",
    "--cores=1.0",
)
