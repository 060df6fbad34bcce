package figdeck.http

import arrow.core.getOrElse
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import figdeck.process.freeAddress
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val IP = "127.0.0.1"
private const val MAX_BYTES = 1_000_000

private val echo: HttpHandler = { call, responder ->
    responder.respond(200, newHeaders(), call.body.readAll(MAX_BYTES).getOrElse { ByteArray(0) })
}

private fun exchangeRaw(address: Address, text: String): String = Socket(address.ip, address.port).use { socket ->
    socket.soTimeout = 5_000
    socket.getOutputStream().write(text.encodeToByteArray())
    socket.getInputStream().readAllBytes().decodeToString()
}

class HttpSpec : DescribeSpec({
    val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val client = HttpClient(group)

    afterSpec {
        client.close()
        group.shutdownGracefully()
    }

    suspend fun <R> withServer(
        handler: HttpHandler,
        limits: HttpServerLimits = HttpServerLimits(),
        use: suspend (Address) -> R,
    ): R = HttpServer(group, limits, handler).use { server -> use(server.listen(IP, 0)) }

    describe("an exchange") {
        it("sends and receives a body, and does so again on the reused connection") {
            withServer(echo) { address ->
                repeat(3) {
                    val request = OutgoingRequest(address, RequestLine("POST", "/x"), body = ByteArray(300_000) { 7 })
                    val size = client.exchange(request) { it.body.readAll(MAX_BYTES).getOrElse { ByteArray(0) }.size }
                    size.getOrNull() shouldBe 300_000
                }
            }
        }

        it("reuses a connection immediately after the previous exchange, from any thread") {
            withServer(echo) { address ->
                val completed = withContext(Dispatchers.Default) {
                    List(8) {
                        async {
                            (1..500).count {
                                val request = OutgoingRequest(
                                    address,
                                    RequestLine("POST", "/x"),
                                    body = "x".encodeToByteArray()
                                )
                                client.exchange(request.copy(headTimeout = 2.seconds)) { it.body.readAll(MAX_BYTES) }
                                    .isRight()
                            }
                        }
                    }.awaitAll().sum()
                }
                completed shouldBe 4_000
            }
        }

        it("streams chunks") {
            val streaming: HttpHandler = { _, responder ->
                responder.start(200, newHeaders())
                repeat(1000) { responder.write("data: $it\n\n".encodeToByteArray()) }
            }
            withServer(streaming) { address ->
                val text = client.exchange(OutgoingRequest(address, RequestLine("GET", "/"))) {
                    it.body.readAll(MAX_BYTES).getOrElse { ByteArray(0) }.decodeToString()
                }
                text.getOrNull() shouldBe (0 until 1000).joinToString("") { "data: $it\n\n" }
            }
        }

        it("fails with NotSent if no server listens on the address") {
            client.exchange(OutgoingRequest(freeAddress(), RequestLine("GET", "/"), freshConnection = true)) { }
                .leftOrNull().shouldBeInstanceOf<ExchangeFailure.NotSent>()
        }

        // Guards against headers that were made without checks.
        it("sends no header that adds another one") {
            withServer(echo) { address ->
                val headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
                headers.set("X-Title", "x\r\nX-Tenant: a")
                val request = OutgoingRequest(address, RequestLine("GET", "/"), headers)
                client.exchange(request) { }.leftOrNull().shouldBeInstanceOf<ExchangeFailure.NotSent>()
            }
        }

        it("fails with Lost if the peer closes the connection in the middle of a response") {
            val failing: HttpHandler = { _, responder ->
                responder.start(200, newHeaders())
                responder.write("a".encodeToByteArray())
                error("broken")
            }
            withServer(failing) { address ->
                client.exchange(OutgoingRequest(address, RequestLine("GET", "/"))) { it.body.readAll(10) }
                    .leftOrNull().shouldBeInstanceOf<ExchangeFailure.Lost>()
            }
        }

        it(
            "goes on for as long as each chunk comes within the idle timeout, and fails with Lost after a longer pause"
        ) {
            val pausing: HttpHandler = { _, responder ->
                responder.start(200, newHeaders())
                listOf(0, 150, 150, 150, 150, 600).forEach { pause ->
                    delay(pause.milliseconds)
                    responder.write("a".encodeToByteArray())
                }
            }
            withServer(pausing) { address ->
                var received = 0
                client.exchange(
                    OutgoingRequest(address, RequestLine("GET", "/"), idleTimeout = 300.milliseconds)
                ) { reply ->
                    reply.body.chunks.collect { received += it.size }
                }.leftOrNull().shouldBeInstanceOf<ExchangeFailure.Lost>()
                received shouldBe 5
            }
        }

        it("counts no time in which the collector does not read as a pause") {
            val fast: HttpHandler = { _, responder ->
                responder.start(200, newHeaders())
                repeat(3) {
                    responder.write(ByteArray(100_000))
                }
            }
            withServer(fast) { address ->
                var received = 0
                client.exchange(
                    OutgoingRequest(address, RequestLine("GET", "/"), idleTimeout = 100.milliseconds)
                ) { reply ->
                    reply.body.chunks.collect {
                        if (received == 0) delay(400)
                        received += it.size
                    }
                }.isRight() shouldBe true
                received shouldBe 300_000
            }
        }

        it("fails with Lost if the response head does not arrive in time") {
            withServer({ _, _ -> delay(5_000) }) { address ->
                client.exchange(OutgoingRequest(address, RequestLine("GET", "/"), headTimeout = 50.milliseconds)) { }
                    .leftOrNull().shouldBeInstanceOf<ExchangeFailure.Lost>()
            }
        }
    }

    describe("a server") {
        it("rejects a request with both Content-Length and Transfer-Encoding") {
            withServer(echo) { address ->
                exchangeRaw(
                    address,
                    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                ).lineSequence().first() shouldBe "HTTP/1.1 400 Bad Request"
            }
        }

        it("rejects headers over the size limit") {
            withServer(echo) { address ->
                exchangeRaw(address, "GET / HTTP/1.1\r\nHost: x\r\nA: ${"a".repeat(40_000)}\r\n\r\n")
                    .lineSequence().first() shouldBe "HTTP/1.1 431 Request Header Fields Too Large"
            }
        }

        it("delivers the refusal of a body to a peer that is still sending the body") {
            val refusing: HttpHandler = { call, responder ->
                call.body.readAll(10)
                responder.respond(413, newHeaders(), "too large".encodeToByteArray())
            }
            withServer(refusing) { address ->
                val body = "x".repeat(3_000_000)
                exchangeRaw(address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n\r\n$body")
                    .lines().last() shouldBe "too large"
            }
        }

        it("aborts a response that the peer does not read, and buffers a bounded part of it") {
            val written = AtomicInteger()
            val flooding: HttpHandler = { _, responder ->
                responder.start(200, newHeaders())
                while (true) {
                    responder.write(ByteArray(100_000))
                    written.incrementAndGet()
                }
            }
            withServer(flooding, HttpServerLimits(writeTimeout = 300.milliseconds)) { address ->
                Socket(address.ip, address.port).use { socket ->
                    socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".encodeToByteArray())
                    delay(1_000)
                    val writtenBefore = written.get()
                    delay(300)
                    written.get() shouldBe writtenBefore
                }
            }
        }

        it("cancels the handler when the peer disconnects") {
            val ended = CompletableDeferred<Unit>()
            val waiting: HttpHandler = { _, _ ->
                try {
                    delay(60_000)
                } finally {
                    ended.complete(Unit)
                }
            }
            withServer(waiting) { address ->
                Socket(address.ip, address.port).use { socket ->
                    socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".encodeToByteArray())
                    delay(100)
                }
                withTimeout(2_000) { ended.await() }
            }
        }

        it("closes a connection if the request head does not arrive in time") {
            withServer(echo, HttpServerLimits(headerTimeout = 100.milliseconds)) { address ->
                exchangeRaw(address, "GET / HT") shouldBe ""
            }
        }

        it("responds to pipelined requests in order") {
            withServer(echo) { address ->
                val keepAliveRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"
                val last = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 1\r\n\r\n"
                val answers = exchangeRaw(address, keepAliveRequest + "a" + keepAliveRequest + "b" + last + "c")
                Regex("HTTP/1.1 200 OK").findAll(answers).count() shouldBe 3
                answers.last() shouldBe 'c'
            }
        }
    }
})
