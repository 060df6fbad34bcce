package figdeck.bench

import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.TimeSource

private const val ROUNDS = 40
private const val WARM_UP_ROUNDS = 10
private const val CHANGE_BYTES = 600
private const val THREADS = 4
private const val MAX_BODY_BYTES = 1024

/**
 * How a change is propagated from the first endpoint to all others.
 *
 * @property fanOut the number of children of each endpoint in a tree; null if the first endpoint sends to all others.
 * @property freshConnections whether every request opens a connection of its own.
 */
private data class Propagation(
    val name: String,
    val fanOut: Int?,
    val freshConnections: Boolean,
)

/**
 * Endpoints on loopback in one process. Each forwards a change to its children and then responds to its parent. They
 * share a listener and differ by path, so that 420 endpoints stay within the usual limit of 1,024 open files.
 */
private class Endpoints(
    eventLoops: EventLoopGroup,
    private val count: Int,
    private val propagation: Propagation,
    private val oneWayDelay: Duration,
) {
    private val client = HttpClient(eventLoops)
    private val server = HttpServer(eventLoops, HttpServerLimits(), handler())
    private val address: Address = server.listen("127.0.0.1", 0)
    private val change = ByteArray(CHANGE_BYTES) { 'x'.code.toByte() }

    suspend fun propagate() = send(children(0))

    fun close() {
        server.close()
        client.close()
    }

    private fun handler(): HttpHandler = { call, responder ->
        call.body.readAll(MAX_BODY_BYTES)
        delay(oneWayDelay)
        send(children(call.path.removePrefix("/").toInt()))
        delay(oneWayDelay)
        responder.respond(200, newHeaders(), ByteArray(0))
    }

    /** The tree order of the paper, in which the parent of process i is i div K, with ids counted from 0. */
    private fun children(i: Int): List<Int> {
        val fanOut = propagation.fanOut ?: return if (i == 0) (1 until count).toList() else emptyList()
        return (i * fanOut + 1..i * fanOut + fanOut).filter { it < count }
    }

    private suspend fun send(to: List<Int>) {
        coroutineScope { to.map { async { send(it) } }.awaitAll() }
    }

    private suspend fun send(to: Int) {
        val request = OutgoingRequest(
            address,
            RequestLine("POST", "/$to"),
            newHeaders(),
            change,
            freshConnection = propagation.freshConnections
        )
        client.exchange(request) { it.body.readAll(MAX_BODY_BYTES) }.onLeft { error(it.reason) }
    }
}

private fun measure(eventLoops: EventLoopGroup, count: Int, propagation: Propagation, oneWayDelay: Duration) {
    val endpoints = Endpoints(eventLoops, count, propagation, oneWayDelay)
    val times = runBlocking {
        List(ROUNDS + WARM_UP_ROUNDS) {
            val start = TimeSource.Monotonic.markNow()
            endpoints.propagate()
            start.elapsedNow().inWholeMicroseconds
        }
    }.drop(WARM_UP_ROUNDS).sorted()
    endpoints.close()
    val median = times[times.size / 2] / 1_000.0
    val worst = times.last() / 1_000.0
    println(
        "%3d endpoints, %-24s one way %6s: median %7.2f ms, worst %7.2f ms".format(
            count,
            propagation.name,
            oneWayDelay,
            median,
            worst
        )
    )
}

/** Compares direct push with trees at 12 and 420 endpoints. No choice is random, so there is no seed. */
fun main() {
    val eventLoops = MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory())
    val propagations = listOf(
        Propagation("direct, kept", null, freshConnections = false),
        Propagation("direct, fresh", null, freshConnections = true),
        Propagation("tree K=2, kept", 2, freshConnections = false),
        Propagation("tree K=2, fresh", 2, freshConnections = true),
        Propagation("tree K=8, kept", 8, freshConnections = false),
        Propagation("tree K=20, kept", 20, freshConnections = false),
    )
    listOf(12, 420).forEach { count ->
        listOf(Duration.ZERO, 1_500.microseconds).forEach { oneWayDelay ->
            propagations.forEach { measure(eventLoops, count, it, oneWayDelay) }
        }
    }
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
}
