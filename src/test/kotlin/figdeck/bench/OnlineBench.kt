package figdeck.bench

import figdeck.cli.Credentials
import figdeck.cli.Daemon
import figdeck.cli.Settings
import figdeck.cli.newEventLoops
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Region
import figdeck.model.Template
import figdeck.model.hashKey
import figdeck.model.systemClock
import figdeck.model.template
import figdeck.process.STADO_KEY
import figdeck.process.chatBody
import figdeck.process.freeAddress
import figdeck.standin.EngineStandIn
import figdeck.standin.EngineTiming
import figdeck.standin.PlatformStandIn
import figdeck.wire.command.encodeTemplate
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.util.concurrent.atomic.AtomicLong
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LOOPBACK = "127.0.0.1"
private const val SECRET = "bench-secret"
private const val TOKENS = 20
private const val MAX_BODY_BYTES = 1024 * 1024
private const val MEDIAN = 50.0
private const val P99 = 99.0
private val RATES = listOf(20, 20, 50, 100, 200)
private val LOAD_DURATION = 10.seconds
private val SETTLE_DELAY = 7.seconds

/** Counts the transactions that the platform stand-in receives, and their bytes. */
private class TransactionCounter(private val inner: HttpHandler) {
    val commits = AtomicLong()
    val bytes = AtomicLong()
    val handler: HttpHandler = { call, responder ->
        if (call.path == "/rows-tx") {
            commits.incrementAndGet()
            bytes.addAndGet(call.headers.get("content-length").toLong())
        }
        inner(call, responder)
    }
}

private fun settings(platform: Address) = Settings(
    host = HostId("host-1"),
    dataCentre = DataCentre("centre-a"),
    region = Region("region-a"),
    callerAddress = freeAddress(),
    peerAddress = freeAddress(),
    operatorAddress = freeAddress(),
    platformAddress = platform,
    credentials = Credentials(SECRET, SECRET, SECRET),
    traceEndpoint = null,
)

private fun benchTemplate(engine: Address): Template = template("evening") {
    upstream("engine-1") {
        address = engine.toString()
        dataCentre = "centre-a"
        slots = 256
    }
    model("walks") { upstreams = listOf("engine-1") }
    team("stado") {
        key("desk", hashKey(STADO_KEY).hex)
        ratePerSecond = 10_000.0
        burst = 10_000
        models = listOf("walks")
    }
}.fold({ error(it.joinToString()) }, { it })

private fun request(address: Address, method: String, target: String, key: String, body: String): OutgoingRequest {
    val headers = newHeaders().set("Authorization", "Bearer $key")
    return OutgoingRequest(address, RequestLine(method, target), headers, body.encodeToByteArray())
}

private suspend fun HttpClient.send(request: OutgoingRequest): String = exchange(request) { reply ->
    reply.body.readAll(MAX_BODY_BYTES).fold({ "" }, { it.decodeToString() })
}.fold({ error(it.reason) }, { it })

/** Returns the median and the 99th percentile of [timer], in ms. */
private fun percentiles(metrics: String, timer: String): String = listOf("0.5", "0.99").joinToString(" ") { quantile ->
    val line = metrics.lines().find { it.startsWith(timer) && "quantile=\"$quantile\"" in it }
    "%.1f".format((line?.substringAfterLast(' ')?.toDouble() ?: Double.NaN) * 1_000)
}

private suspend fun measure(client: HttpClient, eventLoops: EventLoopGroup, counter: TransactionCounter, rate: Int) {
    val platform = HttpServer(eventLoops, HttpServerLimits(), counter.handler).listen(LOOPBACK, 0)
    val engineHandler = EngineStandIn(EngineTiming(50.milliseconds), systemClock).handler
    val engine = HttpServer(eventLoops, HttpServerLimits(), engineHandler).listen(LOOPBACK, 0)
    val settings = settings(platform)
    Daemon(settings, eventLoops).use { daemon ->
        daemon.start()
        val template = encodeTemplate(benchTemplate(engine))
        client.send(request(settings.operatorAddress, "PUT", "/v1/templates/evening", SECRET, template))
        delay(SETTLE_DELAY)
        val commits = counter.commits.get()
        val bytes = counter.bytes.get()
        val result = client.runLoad(OpenLoopLoad(rate, LOAD_DURATION), systemClock) {
            val body = chatBody("Any slot for two on Friday?", TOKENS, stream = true)
            request(settings.callerAddress, "POST", "/v1/chat/completions", STADO_KEY, body)
        }
        val metrics = client.send(request(settings.operatorAddress, "GET", "/metrics", SECRET, ""))
        val first = result.firstByte
        println(
            "rate $rate answered ${result.answered} failed ${result.failed}, per 1000: " +
                "commits ${(counter.commits.get() - commits) * 1_000 / result.answered} " +
                "bytes ${(counter.bytes.get() - bytes) * 1_000 / result.answered}, ms p50 p99: " +
                "first token ${first.percentile(MEDIAN)} ${first.percentile(P99)} " +
                "accept ${percentiles(metrics, "figdeck_journal_wait_seconds{call=\"accept\"")} " +
                "commit ${percentiles(metrics, "figdeck_store_seconds{call=\"commit\"")}",
        )
    }
}

/** Measures the table writes per online chat turn, and how much acceptance adds to the time to first token. */
fun main() {
    val eventLoops = newEventLoops()
    val client = HttpClient(eventLoops)
    runBlocking {
        RATES.forEach { measure(client, eventLoops, TransactionCounter(PlatformStandIn(systemClock).handler), it) }
    }
    exitProcess(0)
}
