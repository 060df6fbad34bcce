package figdeck.http

import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val MAX_BODY_BYTES = 10_000
private const val CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

/** Bytes that go on with [repeated] after [begin] until the server closes the connection. */
private data class EndlessRequest(
    val place: String,
    val begin: String,
    val repeated: String,
)

/** Sends [request] until the server closes the connection. */
private fun sendUntilClosed(
    address: Address,
    request: EndlessRequest
) = Socket(address.ip, address.port).use { socket ->
    untilClosed {
        socket.send(request.begin)
        while (true) {
            socket.send(request.repeated.repeat(1_000))
        }
    }
}

/** Callers in trouble send bytes without end, or one byte now and then. The connection ends, whatever they send. */
class UntrustedRequestSpec : DescribeSpec({
    val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val readsBody: HttpHandler = { call, responder ->
        val status = call.body.readAll(MAX_BODY_BYTES).fold({ 413 }, { 200 })
        responder.respond(status, newHeaders(), ByteArray(0))
    }
    val limits = HttpServerLimits(
        headerTimeout = 500.milliseconds,
        bodyIdleTimeout = 300.milliseconds,
        bodyTotalTimeout = 900.milliseconds,
    )

    afterSpec { eventLoops.shutdownGracefully() }

    suspend fun timeUntilClosed(send: (Address) -> Unit) = HttpServer(eventLoops, limits, readsBody).use { server ->
        val address = server.listen("127.0.0.1", 0)
        val startedAt = TimeSource.Monotonic.markNow()
        send(address)
        startedAt.elapsedNow()
    }

    describe("bytes without end") {
        listOf(
            EndlessRequest("in the request line", "GET /", "a"),
            EndlessRequest("in a header", "GET / HTTP/1.1\r\nA: ", "a"),
            EndlessRequest("in many headers", "GET / HTTP/1.1\r\n", "A: a\r\n"),
            EndlessRequest("in a chunk size", CHUNKED_HEAD, "0"),
            EndlessRequest("in chunks", CHUNKED_HEAD, "1\r\na\r\n"),
            EndlessRequest("in a trailer", "${CHUNKED_HEAD}0\r\n", "A: a\r\n"),
        ).forEach { request ->
            it("end with the connection: ${request.place}") {
                timeUntilClosed { sendUntilClosed(it, request) } shouldBeLessThan 4.seconds
            }
        }
    }

    describe("single bytes now and then") {
        listOf("in a head" to "GET / HTTP/1.1\r\nA: ", "in a body" to "POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n")
            .forEach { (place, begin) ->
                it("end after the time that a request may take: $place") {
                    val took = timeUntilClosed { address ->
                        Socket(address.ip, address.port).use { socket ->
                            socket.soTimeout = 100
                            socket.send(begin)
                            repeat(100) {
                                runCatching { socket.send("a") }.onFailure { return@use }
                                val closed = runCatching { socket.getInputStream().read() }.getOrNull() == -1
                                if (closed) return@use
                            }
                        }
                    }
                    took shouldBeLessThan 4.seconds
                }
            }
    }

    describe("a sound request after them") {
        it("is answered") {
            HttpServer(eventLoops, limits, readsBody).use { server ->
                val address = server.listen("127.0.0.1", 0)
                sendUntilClosed(address, EndlessRequest("in a header", "GET / HTTP/1.1\r\nA: ", "a"))
                Socket(address.ip, address.port).use { socket ->
                    socket.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    socket.getInputStream().bufferedReader().readLine() shouldBe "HTTP/1.1 200 OK"
                }
            }
        }
    }
})
