package figdeck.http.server

import figdeck.http.newHeaders
import figdeck.http.send
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.lang.ref.WeakReference
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

private const val IP = "127.0.0.1"
private const val ANSWER_BYTES = 16_000_000
private const val CALLER_BUFFER_BYTES = 4 * 1024

class HeldAnswerSpec : DescribeSpec({
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    afterSpec { group.shutdownGracefully() }

    describe("a whole answer all of whose parts wait for their reader") {
        // Guards against parts that keep all of the answer in memory, while only their own bytes are counted.
        it("is held no longer than its last part") {
            val answer = AtomicReference<WeakReference<ByteArray>>()
            val room = ResponseRoom({ true }, { true }, 20.seconds, progressBytes = 1, { 0 })
            val handler: HttpHandler = { _, responder ->
                val body = ByteArray(ANSWER_BYTES)
                answer.set(WeakReference(body))
                responder.respond(200, newHeaders(), body)
            }
            HttpServer(group, HttpServerLimits(responseRoom = room), handler).use { server ->
                val address = server.listen(IP, 0)
                Socket().use { socket ->
                    socket.receiveBufferSize = CALLER_BUFFER_BYTES
                    socket.connect(InetSocketAddress(address.ip, address.port))
                    socket.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                    eventually(5.seconds) {
                        System.gc()
                        answer.get().get().shouldBeNull()
                    }
                    server.unreadResponseBytes shouldBeGreaterThan 0
                }
            }
        }
    }
})
