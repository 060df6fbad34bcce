package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import figdeck.cli.Credentials
import figdeck.cli.Daemon
import figdeck.cli.Settings
import figdeck.cli.newEventLoops
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.newHeaders
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Region
import figdeck.model.hashKey
import figdeck.model.systemClock
import figdeck.model.template
import figdeck.standin.EngineStandIn
import figdeck.standin.EngineTiming
import figdeck.standin.PlatformStandIn
import figdeck.standin.ServiceStandIn
import figdeck.wire.command.encodeTemplate
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds

private const val LOOPBACK = "127.0.0.1"
private const val CALLER_KEY = "demo-key"
private const val OPERATOR_SECRET = "demo-operator"

private const val CHAT_BODY =
    """{"model":"walks","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"Any slot?"}]}"""
private const val BATCH_BODY =
    """{"custom_id":"north","body":{"model":"walks","max_tokens":5,"messages":[{"role":"user","content":"North"}]}}
{"custom_id":"lost","body":{"model":"unknown","messages":[{"role":"user","content":"South"}]}}
"""
private const val MAX_BATCH_POLLS = 50
private val BATCH_POLL_INTERVAL = 100.milliseconds
private const val DEMO_RATE = 100.0
private const val DEMO_BURST = 100

/** Runs a daemon with stand-ins for its dependencies in one process and sends one request of each kind. */
internal class Demo : CliktCommand("demo") {
    private val eventLoops = newEventLoops()
    private val client = HttpClient(eventLoops)

    override fun help(context: Context): String = "Run a daemon with stand-ins and show one request of each kind."

    override fun run() {
        val platform = eventLoops.listen(PlatformStandIn(systemClock).handler)
        val engine = eventLoops.listen(EngineStandIn(EngineTiming(), systemClock).handler)
        val service = eventLoops.listen(ServiceStandIn().handler)
        val settings = demoSettings(platform)
        Daemon(settings, eventLoops).use { daemon ->
            daemon.start()
            runBlocking { sendDemoRequests(settings, engine, service) }
        }
    }

    private suspend fun sendDemoRequests(settings: Settings, engine: Address, service: Address) {
        echo("-- a template is applied")
        send(settings.operatorAddress, OPERATOR_SECRET, "PUT", "/v1/templates/demo", demoTemplate(engine, service))
        echo("-- a chat turn is streamed")
        send(settings.callerAddress, CALLER_KEY, "POST", "/v1/chat/completions", CHAT_BODY)
        echo("-- a slot check is answered")
        send(settings.callerAddress, CALLER_KEY, "POST", "/v1/services/slots/check", """{"herd":"north"}""")
        echo("-- a batch is written and read back")
        runBatch(settings.callerAddress)
    }

    private suspend fun runBatch(address: Address) {
        val accepted = send(address, CALLER_KEY, "POST", "/v1/batches", BATCH_BODY)
        val batch = "/v1/batches/" + accepted.substringAfter("\"id\":\"").substringBefore('"')
        repeat(MAX_BATCH_POLLS) {
            delay(BATCH_POLL_INTERVAL)
            val status = send(address, CALLER_KEY, "GET", batch, "")
            if ("\"completed\"" in status) {
                send(address, CALLER_KEY, "GET", "$batch/results", "")
                return
            }
        }
    }

    private suspend fun send(address: Address, key: String, method: String, target: String, body: String): String {
        val text = StringBuilder()
        val headers = newHeaders().set("Authorization", "Bearer $key")
        val request = OutgoingRequest(address, RequestLine(method, target), headers, body.encodeToByteArray())
        client.exchange(request) { reply ->
            echo("$method $target: ${reply.status}")
            reply.body.chunks.collect { text.append(it.decodeToString()) }
            echo(text)
        }.onLeft { echo("$method $target: ${it.reason}") }
        return text.toString()
    }
}

private fun EventLoopGroup.listen(handler: HttpHandler): Address =
    HttpServer(this, HttpServerLimits(), handler).listen(LOOPBACK, 0)

private fun freeAddress(): Address = Address(LOOPBACK, ServerSocket(0).use { it.localPort })

private fun demoSettings(platform: Address) = Settings(
    host = HostId("demo"),
    dataCentre = DataCentre("demo"),
    region = Region("demo"),
    callerAddress = freeAddress(),
    peerAddress = freeAddress(),
    operatorAddress = freeAddress(),
    platformAddress = platform,
    credentials = Credentials("demo-peers", OPERATOR_SECRET, "demo-upstream"),
    traceEndpoint = null,
)

private fun demoTemplate(engine: Address, service: Address): String {
    val built = template("demo") {
        upstream("engine") {
            address = engine.toString()
            dataCentre = "demo"
        }
        upstream("slots") {
            address = service.toString()
            dataCentre = "demo"
            kind = "service"
        }
        model("walks") { upstreams = listOf("engine") }
        route("slots") { upstreams = listOf("slots") }
        team("stado") {
            key("demo", hashKey(CALLER_KEY).hex)
            ratePerSecond = DEMO_RATE
            burst = DEMO_BURST
            models = listOf("walks")
            routes = listOf("slots")
        }
    }
    return built.fold({ error(it.joinToString()) }, { encodeTemplate(it) })
}
