package figdeck.http.client

import figdeck.http.RawUpstream
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.send
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.http.wholeResponse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.time.Duration.Companion.seconds

private const val IP = "127.0.0.1"

/** More than the buffers of both systems hold of a request that its upstream doesn't read. */
private const val BODY_BYTES = 16_000_000
private const val MAX_ANSWER_BYTES = 100
private const val UNREAD_MILLIS = 4_000L
private const val EARLY_REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
private val HEAD_TIMEOUT = 2.seconds

class EarlyAnswerSpec : DescribeSpec({
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val client = HttpClient(group)

    afterSpec {
        client.close()
        group.shutdownGracefully()
    }

    describe("a connection whose peer read the whole request") {
        // Guards against a connection for each request with a large body.
        it("is reused") {
            val taking: HttpHandler = { call, responder ->
                call.body.readAll(BODY_BYTES)
                responder.respond(200, newHeaders(), ByteArray(0))
            }
            HttpServer(group, HttpServerLimits(), taking).use { server ->
                val large = OutgoingRequest(
                    server.listen(IP, 0),
                    RequestLine("POST", "/"),
                    body = ByteArray(BODY_BYTES)
                )
                val earlier = List(2) {
                    client.exchange(large) { reply ->
                        reply.body.readAll(MAX_ANSWER_BYTES)
                        reply.earlierExchanges
                    }.getOrNull()
                }
                earlier shouldBe listOf(0, 1)
            }
        }
    }

    describe("a connection whose peer answered before it read the whole request") {
        // Guards against a request that waits behind the rest of the one before it, until it is lost.
        it("is not reused") {
            val upstream = RawUpstream { request, socket ->
                if (request.head.first().startsWith("POST")) {
                    socket.send(EARLY_REFUSAL)
                    Thread.sleep(UNREAD_MILLIS)
                    socket.close()
                } else {
                    socket.send(wholeResponse("next"))
                }
            }
            upstream.use {
                val large = OutgoingRequest(it.address, RequestLine("POST", "/"), body = ByteArray(BODY_BYTES))
                val next = OutgoingRequest(it.address, RequestLine("GET", "/"), headTimeout = HEAD_TIMEOUT)
                val statuses = listOf(large, next).map { request ->
                    client.exchange(request) { reply ->
                        reply.body.readAll(MAX_ANSWER_BYTES)
                        reply.status
                    }.getOrNull()
                }
                statuses shouldBe listOf(503, 200)
            }
        }
    }
})
