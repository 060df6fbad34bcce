package figdeck.http.client

import figdeck.http.CHUNKED_RESPONSE_HEAD
import figdeck.http.EndlessResponse
import figdeck.http.RawUpstream
import figdeck.http.readAll
import figdeck.http.send
import figdeck.http.wholeResponse
import figdeck.model.Address
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Half of the slots of a deployment's upstreams: a host has two event loops. */
private const val FLOODING = 44
private const val EXCHANGES = 100
private const val CHUNKS_PER_BLOCK = 10_000
private const val MAX_ANSWER_BYTES = 1024
private val BEGIN_TIME = 500.milliseconds

/** One turn of each other connection while the request is sent, and one while the answer is received. */
private const val TURNS = 2
private const val PARTS_PER_TURN = 1024L

private fun request(address: Address) =
    OutgoingRequest(address, RequestLine("GET", "/"), headTimeout = 10.seconds, idleTimeout = 10.seconds)

class FloodedEventLoopSpec : DescribeSpec({
    val eventLoop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val client = HttpClient(eventLoop)

    afterSpec {
        client.close()
        eventLoop.shutdownGracefully()
    }

    /** The chunks that all flooding connections delivered during each of [EXCHANGES] exchanges with [sound]. */
    suspend fun partsDuringExchanges(flooding: Address, sound: Address): List<Long> = coroutineScope {
        var received = 0L
        val floods = List(FLOODING) {
            launch { client.exchange(request(flooding)) { reply -> reply.body.chunks.collect { received += it.size } } }
        }
        delay(BEGIN_TIME)
        val parts = List(EXCHANGES) {
            val before = received
            client.exchange(request(sound)) { it.body.readAll(MAX_ANSWER_BYTES) }
            received - before
        }
        floods.forEach { it.cancelAndJoin() }
        parts
    }

    // Guards against a connection that holds up all others of its event loop with bytes that are costly to decode.
    // Counts the decoded chunks of one byte: their number doesn't depend on what else the machine does.
    describe("an exchange whose event loop also reads from $FLOODING connections without end") {
        it("is over before each of them had more than $TURNS turns of $PARTS_PER_TURN chunks") {
            val flood = EndlessResponse("chunks", CHUNKED_RESPONSE_HEAD, "1\r\na\r\n".repeat(CHUNKS_PER_BLOCK))
            val parts = RawUpstream { _, socket -> flood.sendTo(socket) }.use { flooding ->
                RawUpstream { _, socket -> socket.send(wholeResponse("sound")) }.use { sound ->
                    withContext(eventLoop.next().asCoroutineDispatcher()) {
                        partsDuringExchanges(flooding.address, sound.address)
                    }
                }
            }
            parts.sum() shouldBeGreaterThan 0
            parts.sorted()[EXCHANGES / 2] shouldBeLessThanOrEqual FLOODING * TURNS * PARTS_PER_TURN
        }
    }
})
