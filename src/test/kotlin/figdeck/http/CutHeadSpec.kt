package figdeck.http

import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

private const val HEAD_START = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Response-Stamp: s\r\n"

/** What an upstream does after the last byte that it sends. */
private data class Ending(
    val name: String,
    val end: (Socket) -> Unit,
)

class CutHeadSpec : DescribeSpec({
    val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val client = HttpClient(eventLoops)

    afterSpec {
        client.close()
        eventLoops.shutdownGracefully()
    }

    // Guards against an answer that stops within its head and reaches a caller as a whole one with an empty body.
    describe("an answer that stops within its head, after any byte") {
        val heads = listOf(
            "with a length" to "${HEAD_START}Content-Length: 10\r\n\r\n",
            "in chunks" to "${HEAD_START}Transfer-Encoding: chunked\r\n\r\n",
            "that ends with its connection" to "$HEAD_START\r\n",
            "after an interim response" to "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n$HEAD_START\r\n",
        )
        val endings = listOf(
            Ending("closed") { it.close() },
            Ending("closed for writing") {
                it.shutdownOutput()
                Thread.sleep(20)
            },
            Ending("reset") {
                Thread.sleep(5)
                it.reset()
            },
        )
        for ((name, head) in heads) {
            for (ending in endings) {
                it("is no answer: $name, ${ending.name}") {
                    val accepted = head.indices.filter { length ->
                        val upstream = RawUpstream { _, socket ->
                            socket.send(head.take(length))
                            ending.end(socket)
                        }
                        val request =
                            OutgoingRequest(upstream.address, RequestLine("GET", "/"), headTimeout = 2.seconds)
                        upstream.use { client.exchange(request) { reply -> reply.status } }.isRight()
                    }
                    accepted.shouldBeEmpty()
                }
            }
        }
    }
})
