package figdeck.http

import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.model.Address
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MAX_BYTES = 100_000
private const val BODY = "the body"
private const val STATUS_LINE = "HTTP/1.1 200 OK"
private const val FAILURE_BODY = "failed"

private val CLOSE_LIMIT = 2.seconds

/** How long the client gets to read what the upstream has written. */
private const val READ_PAUSE_MILLIS = 20L

private fun success(id: Int): String =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Id: $id\r\nContent-Length: ${BODY.length}\r\n\r\n$BODY"

private fun failure(id: Int): String =
    "HTTP/1.1 500 Internal Server Error\r\nX-Id: $id\r\nContent-Length: ${FAILURE_BODY.length}\r\n\r\n$FAILURE_BODY"

/** What the caller of the request [id] received. */
private data class Received(
    val id: String?,
    val status: Int,
    val body: String?,
)

private suspend fun HttpClient.call(address: Address): Received? = exchange(
    OutgoingRequest(address, RequestLine("GET", "/"), headTimeout = 2.seconds, idleTimeout = 500.milliseconds)
) { reply ->
    Received(reply.headers.get("X-Id"), reply.status, reply.body.readAll(MAX_BYTES).getOrNull()?.decodeToString())
}.getOrNull()

/** When an upstream writes the beginning of the second copy of its first answer. */
private data class CopyMoment(
    val name: String,
    val write: (answer: String, copy: String, socket: Socket) -> Unit,
)

private val moments = listOf(
    CopyMoment("on the idle connection") { answer, copy, socket ->
        socket.send(answer)
        Thread.sleep(READ_PAUSE_MILLIS)
        socket.send(copy)
    },
    CopyMoment("in the same read as the end of the answer") { answer, copy, socket -> socket.send(answer + copy) },
)

class LateCopySpec : DescribeSpec({
    val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val client = HttpClient(eventLoops)

    afterSpec {
        client.close()
        eventLoops.shutdownGracefully()
    }

    describe("a second copy of an answer that breaks off after any byte") {
        val copy = success(1)
        moments.forEach { moment ->
            it("lends nothing to the next answer of the connection: ${moment.name}") {
                val wrong = (1..copy.length).mapNotNull { length ->
                    val upstream = RawUpstream { request, socket ->
                        when (request.number) {
                            1 -> moment.write(copy, copy.take(length), socket)
                            else -> socket.send(failure(request.number))
                        }
                    }
                    upstream.use {
                        client.call(it.address)
                        eventually(CLOSE_LIMIT) { it.endedConnections == 1 }
                        val received = client.call(it.address)
                        if (received == Received("2", 500, FAILURE_BODY)) null else length to received
                    }
                }
                wrong.shouldBeEmpty()
            }
        }

        it("lends nothing to the answer that follows it when the next request has been sent") {
            val wrong = (1..copy.length).mapNotNull { length ->
                val upstream = RawUpstream { request, socket ->
                    when (request.number) {
                        1 -> socket.send(copy)
                        else -> socket.send(copy.take(length) + failure(request.number))
                    }
                }
                upstream.use {
                    client.call(it.address)
                    val received = client.call(it.address)
                    if (received?.id == "2" && received.status == 200) length to received else null
                }
            }
            wrong.shouldBeEmpty()
        }
    }

    describe("a body that holds a status line as text") {
        it("is whole if it has a length that nothing follows") {
            val text = "HTTP/1.1 200 OK is the usual answer"
            RawUpstream { _, socket -> socket.send(wholeResponse(text)) }.use {
                repeat(2) { _ -> client.call(it.address)?.body shouldBe text }
            }
        }
    }

    describe("a body that breaks off") {
        listOf(
            "with a length" to success(1),
            "without one" to "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n$BODY",
        ).forEach { (name, answer) ->
            it("is not completed by a second copy: $name") {
                val bodyStart = answer.length - BODY.length
                val wrong = (bodyStart until answer.length).mapNotNull { length ->
                    val upstream = RawUpstream { _, socket ->
                        socket.send(answer.take(length))
                        Thread.sleep(READ_PAUSE_MILLIS)
                        socket.send(success(1))
                        socket.close()
                    }
                    upstream.use { client.call(it.address)?.body?.let { body -> length to body } }
                }
                wrong.shouldBeEmpty()
            }
        }
    }

    describe("an answer without a length") {
        it("does not end with the first bytes of a copy that breaks off within its status line") {
            val wrong = (1..STATUS_LINE.length).mapNotNull { length ->
                val upstream = RawUpstream { _, socket ->
                    socket.send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n$BODY")
                    Thread.sleep(READ_PAUSE_MILLIS)
                    socket.send(STATUS_LINE.take(length))
                    socket.close()
                }
                upstream.use { client.call(it.address)?.body?.takeIf { body -> body != BODY } }
            }
            wrong.shouldBeEmpty()
        }
    }
})
