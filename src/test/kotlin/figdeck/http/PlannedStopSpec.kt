package figdeck.http

import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.BufferedReader
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204L
private const val STOPS = 200
private const val CALLERS = 12
private const val MAX_PAUSE_MILLIS = 30
private const val MAX_WORK_MILLIS = 8

/** The status of the answer to the request [id] on this kept connection, or null if it ended without a whole one. */
private fun Socket.statusOf(id: String, input: BufferedReader): Int? = runCatching {
    send("GET /$id HTTP/1.1\r\nHost: x\r\n\r\n")
    val status = input.readLine()?.split(' ')?.get(1)?.toInt()
    val head = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
    val length = head.find { it.startsWith("content-length", ignoreCase = true) }?.substringAfter(':')?.trim()?.toInt()
    val body = CharArray(length ?: 0)
    val whole = body.isEmpty() || input.read(body) == body.size
    status.takeIf { whole }
}.getOrElse { if (it is IOException) null else throw it }

/** What one stop under load did to the requests that the callers sent. */
private class StopUnderLoad(
    private val server: HttpServer,
    private val random: Random,
    private val started: Set<String>,
) {
    private val statuses = ConcurrentHashMap<String, Int>()

    suspend fun play(address: Address, prefix: String) = coroutineScope {
        val callers = List(CALLERS) { caller ->
            val pauses = List(STOPS) { random.nextInt(MAX_PAUSE_MILLIS).milliseconds }
            async(Dispatchers.IO) { callUntilClosed(address, "$prefix-$caller", pauses) }
        }
        delay(random.nextInt(2 * MAX_PAUSE_MILLIS).milliseconds)
        server.drain(Duration.ZERO, 2.seconds)
        server.close()
        callers.awaitAll()
    }

    /** The requests whose handler started and whose caller got no whole answer. */
    fun interrupted(): List<String> = started.filter { statuses[it] != HTTP_OK }

    /** The refused requests whose handler started all the same. */
    fun refusedButRun(): List<String> = statuses.filter { it.value != HTTP_OK }.keys.filter { it in started }

    private suspend fun callUntilClosed(address: Address, prefix: String, pauses: List<Duration>) {
        // A caller that connects after the stop finds no listener.
        untilClosed {
            Socket(address.ip, address.port).use { socket ->
                val input = socket.getInputStream().bufferedReader()
                for ((i, pause) in pauses.withIndex()) {
                    statuses["$prefix-$i"] = socket.statusOf("$prefix-$i", input) ?: return
                    delay(pause)
                }
            }
        }
    }

    private companion object {
        const val HTTP_OK = 200
    }
}

class PlannedStopSpec : DescribeSpec({
    describe("a planned stop whose calls outlast it") {
        it("refuses requests that come after its wait, on connections that were kept open") {
            val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            val started = ConcurrentHashMap.newKeySet<String>()
            val server = HttpServer(eventLoops, HttpServerLimits()) { call, responder ->
                started += call.path
                if (call.path == "/long") awaitCancellation()
                responder.respond(200, newHeaders(), "whole".encodeToByteArray())
            }
            val address = server.listen("127.0.0.1", 0)
            Socket(address.ip, address.port).use { kept ->
                val input = kept.getInputStream().bufferedReader()
                kept.statusOf("first", input) shouldBe 200
                Socket(address.ip, address.port).use { busy ->
                    busy.send("GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
                    eventually(5.seconds) { "/long" in started }
                    server.drain(Duration.ZERO, 100.milliseconds)
                    withContext(Dispatchers.IO) { kept.statusOf("late", input) } shouldBe 503
                }
            }
            started shouldBe setOf("/first", "/long")
            server.close()
            eventLoops.shutdownGracefully()
        }
    }

    describe("a planned stop under load") {
        it("answers every request that reached its handler, and refuses or leaves unread all others") {
            val eventLoops = MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory())
            val random = Random(SEED)
            var served = 0
            repeat(STOPS) { stop ->
                val started = ConcurrentHashMap.newKeySet<String>()
                val handler: HttpHandler = { call, responder ->
                    started += call.path.removePrefix("/")
                    delay(Random(call.path.hashCode()).nextInt(MAX_WORK_MILLIS).milliseconds)
                    responder.respond(200, newHeaders(), "whole".encodeToByteArray())
                }
                val server = HttpServer(eventLoops, HttpServerLimits(), handler)
                val load = StopUnderLoad(server, random, started)
                load.play(server.listen("127.0.0.1", 0), "stop-$stop")
                load.interrupted().shouldBeEmpty()
                load.refusedButRun().shouldBeEmpty()
                served += started.size
                server.activeCalls shouldBe 0
            }
            served shouldBeGreaterThan STOPS * CALLERS / 2
            eventLoops.shutdownGracefully()
        }
    }
})
