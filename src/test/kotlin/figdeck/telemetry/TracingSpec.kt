package figdeck.telemetry

import figdeck.cli.Credentials
import figdeck.cli.Daemon
import figdeck.cli.Settings
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
import figdeck.model.hashKey
import figdeck.model.systemClock
import figdeck.model.template
import figdeck.process.freeAddress
import figdeck.standin.EngineStandIn
import figdeck.standin.EngineTiming
import figdeck.standin.PlatformStandIn
import figdeck.wire.command.encodeTemplate
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import java.util.concurrent.CopyOnWriteArrayList

private const val CALLER_TRACE = "0af7651916cd43dd8448eb211c80319c"
private const val CALLER_SPAN = "b7ad6b7169203331"
private const val OPERATOR = "operator-secret"

private class RecordingExporter : SpanExporter {
    val spans = CopyOnWriteArrayList<SpanData>()

    override fun export(batch: Collection<SpanData>): CompletableResultCode {
        spans += batch
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()
}

private fun settings(platform: Address) = Settings(
    host = HostId("host-1"),
    dataCentre = DataCentre("centre-a"),
    region = Region("region-a"),
    callerAddress = freeAddress(),
    peerAddress = freeAddress(),
    operatorAddress = freeAddress(),
    platformAddress = platform,
    credentials = Credentials("peer-secret", OPERATOR, "upstream-secret"),
    traceEndpoint = null,
)

private fun traceTemplate(engine: Address) = template("t") {
    upstream("engine-1") {
        address = engine.toString()
        dataCentre = "centre-a"
    }
    model("walks") { upstreams = listOf("engine-1") }
    team("stado") {
        key("k", hashKey("stado-key").hex)
        ratePerSecond = 10.0
        burst = 10
        models = listOf("walks")
    }
}.fold({ error(it.joinToString()) }, { encodeTemplate(it) })

class TracingSpec : DescribeSpec({
    val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val client = HttpClient(group)

    afterSpec {
        client.close()
        group.shutdownGracefully()
    }

    fun listen(handler: HttpHandler): Address = HttpServer(group, HttpServerLimits(), handler).listen("127.0.0.1", 0)

    suspend fun send(address: Address, method: String, target: String, key: String, body: String): String {
        val headers = newHeaders()
            .set("Authorization", "Bearer $key")
            .set("traceparent", "00-$CALLER_TRACE-$CALLER_SPAN-01")
        val request = OutgoingRequest(address, RequestLine(method, target), headers, body.encodeToByteArray())
        return client.exchange(request) { reply -> reply.body.readAll(1_000_000).fold({ "" }, { it.decodeToString() }) }
            .fold({ it.reason }, { it })
    }

    describe("a chat turn") {
        it("records a span per hop, passes the trace but never the key to the upstream, and updates the metrics") {
            val recorded = RecordingExporter()
            val provider = SdkTracerProvider.builder().addSpanProcessor(SimpleSpanProcessor.create(recorded)).build()
            val traceparents = CopyOnWriteArrayList<String>()
            val headers = CopyOnWriteArrayList<String>()
            val engine = EngineStandIn(EngineTiming(), systemClock)
            val engineAddress = listen { call, responder ->
                call.headers.get("traceparent")?.let { traceparents += it }
                headers += call.headers.map { "${it.key}: ${it.value}" }
                engine.handler(call, responder)
            }
            val settings = settings(listen(PlatformStandIn(systemClock).handler))
            Daemon(settings, group, tracer = provider.get("figdeck")).use { daemon ->
                daemon.start()
                send(settings.operatorAddress, "PUT", "/v1/templates/t", OPERATOR, traceTemplate(engineAddress))
                val chat = """{"model":"walks","max_tokens":3,"messages":[{"role":"user","content":"x"}]}"""
                send(settings.callerAddress, "POST", "/v1/chat/completions", "stado-key", chat) shouldContain "content"
                send(settings.callerAddress, "POST", "/v1/chat/completions", "wrong", chat) shouldContain "unknown_key"
                val metrics = send(settings.operatorAddress, "GET", "/metrics", OPERATOR, "")
                metrics shouldContain "figdeck_refusals_total{team=\"none\",type=\"unknown_key\"} 1.0"
                metrics shouldContain "figdeck_upstream_first_token_seconds_count 1"
            }
            val callSpans = recorded.spans.filter { it.traceId == CALLER_TRACE }
            val serverSpan = callSpans.first { it.name == "caller POST" && it.attributes.toString().contains("200") }
            serverSpan.parentSpanId shouldBe CALLER_SPAN
            val children = callSpans.filter { it.parentSpanId == serverSpan.spanId }
            children.map { it.name } shouldContainAll
                listOf("journal accept", "dispatch wait", "upstream generate", "journal finish")
            recorded.spans.map { it.name } shouldContain "store commit"
            val upstreamSpan = children.first { it.name == "upstream generate" }
            traceparents.single() shouldBe "00-$CALLER_TRACE-${upstreamSpan.spanId}-01"
            headers.filter { "stado-key" in it } shouldBe emptyList()
            headers.filter { it.startsWith("Authorization", ignoreCase = true) } shouldBe
                listOf("authorization: Bearer upstream-secret")
        }
    }
})
