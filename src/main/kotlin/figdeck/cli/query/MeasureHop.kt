package figdeck.cli.query

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.OptionCallTransformContext
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import figdeck.bench.LoadResult
import figdeck.bench.OpenLoopLoad
import figdeck.bench.percentile
import figdeck.bench.runLoad
import figdeck.cli.newEventLoops
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.client.requestLine
import figdeck.http.newHeaders
import figdeck.model.Address
import figdeck.model.parseAddress
import figdeck.model.systemClock
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_RATE = 500
private const val DEFAULT_SECONDS = 10
private const val WARM_UP_SECONDS = 5
private const val MEDIAN = 50.0
private const val P99 = 99.0

/** Measures the latency that a daemon adds, by comparison with requests sent directly to the upstream. */
internal class MeasureHop : CliktCommand("measure-hop") {
    private val daemon by option(help = "Caller address of the daemon.").convert { parseAddress(it) }.required()
    private val upstream by option(help = "Address of the upstream.").convert { parseAddress(it) }.required()
    private val daemonTarget by option(help = "Request path at the daemon.").convert { toPost(it) }.required()
    private val upstreamTarget by option(help = "Request path at the upstream.").convert { toPost(it) }.required()
    private val body by option(help = "Body of each request.").default("{}")
    private val key by option(help = "Key of a team.").required()
    private val rate by option(help = "Requests per second.").int().default(DEFAULT_RATE)
    private val seconds by option(help = "Seconds for each of the two measurements.").int().default(DEFAULT_SECONDS)

    override fun help(context: Context): String = "Measure the latency and throughput of one hop."

    override fun run() {
        val eventLoops = newEventLoops()
        HttpClient(eventLoops).use { client ->
            runBlocking {
                measure(client, daemon, daemonTarget, WARM_UP_SECONDS)
                val direct = measure(client, upstream, upstreamTarget, seconds)
                val throughDaemon = measure(client, daemon, daemonTarget, seconds)
                report("direct", direct)
                report("through", throughDaemon)
                echo("added p50 ${throughDaemon.lastByte.percentile(MEDIAN) - direct.lastByte.percentile(MEDIAN)}")
                echo("added p99 ${throughDaemon.lastByte.percentile(P99) - direct.lastByte.percentile(P99)}")
            }
        }
        eventLoops.shutdownGracefully()
    }

    private suspend fun measure(
        client: HttpClient,
        address: Address,
        line: RequestLine,
        durationSeconds: Int,
    ): LoadResult =
        client.runLoad(OpenLoopLoad(rate, durationSeconds.seconds), systemClock) {
            val headers = newHeaders().set("Authorization", "Bearer $key").set("Content-Type", "application/json")
            OutgoingRequest(address, line, headers, body.encodeToByteArray())
        }

    private fun report(name: String, result: LoadResult) {
        echo(
            "$name answered ${result.answered} failed ${result.failed} bytes ${result.bytes} " +
                "first p50 ${result.firstByte.percentile(MEDIAN)} p99 ${result.firstByte.percentile(P99)} " +
                "whole p50 ${result.lastByte.percentile(MEDIAN)} p99 ${result.lastByte.percentile(P99)}",
        )
    }
}

private fun OptionCallTransformContext.toPost(target: String): RequestLine =
    requestLine("POST", target).fold({ fail(it) }, { it })
