package figdeck.http

import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.client.LossCause
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.model.Address
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withContext
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

private const val MAX_BYTES = 100_000
private const val RESPONSE_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\npart"

private const val INTERIM_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n"

private fun get(address: Address) = OutgoingRequest(
    address,
    RequestLine("GET", "/"),
    headTimeout = 2.seconds,
    idleTimeout = 2.seconds,
)

private suspend fun HttpClient.body(address: Address): String? = exchange(get(address)) { reply ->
    reply.body.readAll(MAX_BYTES).getOrNull()?.decodeToString()
}.getOrNull()

/** Upstreams in trouble send bytes that belong to no request, or end early. No caller may take these for its answer. */
class UntrustedResponseSpec : DescribeSpec({
    val eventLoops = MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory())
    val client = HttpClient(eventLoops)

    afterSpec {
        client.close()
        eventLoops.shutdownGracefully()
    }

    describe("a second copy of an answer") {
        it("in the same read as the end of the first never reaches the next caller") {
            val upstream = RawUpstream { request, socket ->
                socket.send(wholeResponse("${request.number}") + wholeResponse("copy of ${request.number}"))
            }
            val received = upstream.use {
                withContext(Dispatchers.Default) {
                    List(4) { async { List(500) { client.body(upstream.address) } } }.awaitAll().flatten()
                }
            }
            received.filter { it?.startsWith("copy") == true }.shouldBeEmpty()
            received.count { it != null } shouldBe 2_000
        }

        it("that arrives on the idle connection closes it") {
            val upstream = RawUpstream { request, socket ->
                socket.send(wholeResponse("${request.number}"))
                Thread.sleep(20)
                socket.send(wholeResponse("copy of ${request.number}"))
                Thread.sleep(20)
            }
            upstream.use {
                client.body(upstream.address) shouldBe "1"
                Thread.sleep(100)
                client.body(upstream.address) shouldBe "2"
            }
        }
    }

    describe("a refusal that its upstream writes again on the connection") {
        it("is not taken for the answer to the next request") {
            val refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            var refusedOn: Socket? = null
            val upstream = RawUpstream { request, socket ->
                when {
                    request.number == 1 -> socket.send(refusal).also { refusedOn = socket }
                    socket == refusedOn -> socket.send(refusal + wholeResponse("answer"))
                    else -> socket.send(wholeResponse("answer"))
                }
            }
            upstream.use {
                client.exchange(get(it.address)) { reply -> reply.status }.getOrNull() shouldBe 503
                client.exchange(get(it.address)) { reply -> reply.status }.getOrNull() shouldBe 200
            }
        }
    }

    describe("an answer without length") {
        it("is whole if its connection ends in order") {
            RawUpstream { _, socket ->
                socket.send(RESPONSE_WITHOUT_LENGTH)
                socket.close()
            }.use { client.body(it.address) shouldBe "part" }
        }

        it("is not whole if its connection is reset") {
            val upstream = RawUpstream { _, socket ->
                socket.send(RESPONSE_WITHOUT_LENGTH)
                Thread.sleep(50)
                socket.reset()
            }
            upstream.use {
                client.exchange(get(it.address)) { reply -> reply.body.readAll(MAX_BYTES) }
                    .leftOrNull().shouldBeInstanceOf<ExchangeFailure.Lost>()
            }
        }
    }

    describe("an answer that ends early") {
        listOf(
            "short of its length" to "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
            "without its last chunk" to "${CHUNKED_RESPONSE_HEAD}4\r\npart\r\n",
            "within its head" to "HTTP/1.1 200 OK\r\nContent-Le",
        ).forEach { (name, text) ->
            it("is not whole: $name") {
                val upstream = RawUpstream { _, socket ->
                    socket.send(text)
                    socket.close()
                }
                upstream.use {
                    client.exchange(get(it.address)) { reply -> reply.body.readAll(MAX_BYTES) }
                        .leftOrNull().shouldBeInstanceOf<ExchangeFailure.Lost>()
                        .cause shouldBe LossCause.CONNECTION_ENDED
                }
            }
        }
    }

    describe("bytes that are no answer") {
        listOf(
            "instead of the head" to "no answer\r\n\r\n",
            "a head joined to another one" to "HTTP/1.1 200 O${wholeResponse("another")}",
            "instead of a chunk" to "${CHUNKED_RESPONSE_HEAD}4\r\npart\r\nno chunk\r\n",
            "a body completed by another answer" to
                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart${wholeResponse("another")}",
        ).forEach { (name, text) ->
            it("do not count as the end of their upstream: $name") {
                RawUpstream { _, socket -> socket.send(text) }.use {
                    client.exchange(get(it.address)) { reply -> reply.body.readAll(MAX_BYTES) }
                        .leftOrNull().shouldBeInstanceOf<ExchangeFailure.Lost>()
                        .cause shouldBe LossCause.INVALID_RESPONSE
                }
            }
        }
    }

    describe("an answer that stops while its connection stays open") {
        listOf(
            "before its head" to "",
            "within its body" to "${CHUNKED_RESPONSE_HEAD}4\r\npart\r\n"
        ).forEach { (name, text) ->
            it("is lost to a timeout: $name") {
                val upstream = RawUpstream { _, socket ->
                    socket.send(text)
                    Thread.sleep(1_000)
                }
                val request = get(upstream.address).copy(headTimeout = 200.milliseconds, idleTimeout = 200.milliseconds)
                upstream.use {
                    client.exchange(request) { reply -> reply.body.readAll(MAX_BYTES) }
                        .leftOrNull().shouldBeInstanceOf<ExchangeFailure.Lost>().cause shouldBe LossCause.TIMEOUT
                }
            }
        }
    }

    describe("an interim response") {
        it("is not taken for the answer") {
            RawUpstream { _, socket ->
                socket.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + wholeResponse("answer"))
            }.use { client.body(it.address) shouldBe "answer" }
        }
    }

    describe("bytes without end") {
        listOf(
            EndlessResponse("in the status line", "HTTP", "H".repeat(1_000)),
            EndlessResponse("in a header", "HTTP/1.1 200 OK\r\nA: ", "a".repeat(1_000)),
            EndlessResponse("in a chunk size", "${CHUNKED_RESPONSE_HEAD}0", "0".repeat(1_000)),
            EndlessResponse("in a trailer", "${CHUNKED_RESPONSE_HEAD}0\r\nA: ", "a".repeat(1_000)),
            EndlessResponse("in interim responses", INTERIM_RESPONSE, INTERIM_RESPONSE.repeat(1_000)),
            EndlessResponse("in a body", "HTTP/1.1 200 OK\r\n\r\n", "a".repeat(1_000)),
        ).forEach { case ->
            it("end with the exchange: ${case.name}") {
                val upstream = RawUpstream { _, socket -> case.sendTo(socket) }
                val request = get(upstream.address).copy(headTimeout = 300.milliseconds)
                upstream.use {
                    val took = measureTime {
                        val result = client.exchange(request) { reply -> reply.body.readAll(MAX_BYTES) }
                        result.getOrNull()?.getOrNull() shouldBe null
                    }
                    took shouldBeLessThan 2.seconds
                }
            }
        }
    }
})
