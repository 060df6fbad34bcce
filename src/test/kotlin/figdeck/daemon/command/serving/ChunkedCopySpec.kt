package figdeck.daemon.command.serving

import figdeck.daemon.command.jobs.ItemOutput
import figdeck.http.RawUpstream
import figdeck.http.client.HttpClient
import figdeck.http.client.HttpReply
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.readAll
import figdeck.http.send
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.noProgress
import figdeck.platform.ExpectedReply
import figdeck.platform.upstreamReply
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.ByteArrayOutputStream
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ID = "9c41d07be2a35f68"
private const val MAX_BYTES = 100_000
private const val READ_PAUSE_MILLIS = 5L
private val MAX_PAUSE = 1.seconds
private val expected = ExpectedReply(ID, UpstreamId("i-1"), weights = null)

/** An answer in the chunks [written], as a runner sends it. */
private data class ChunkedAnswer(val type: String, val written: List<String>) {
    private val head = "HTTP/1.1 200 OK\r\nContent-Type: $type\r\nX-Attempt-Id: $ID\r\n" +
        "X-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n"
    val text = head + written.joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"
    val body = written.joinToString("")
    val cuts = head.length until text.length

    /** Writes this answer up to [length] and then the whole of it once more. */
    fun stutter(length: Int, socket: Socket) {
        socket.send(text.take(length))
        Thread.sleep(READ_PAUSE_MILLIS)
        socket.send(text)
        socket.close()
    }
}

private suspend fun <R> HttpClient.readStutter(
    answer: ChunkedAnswer,
    length: Int,
    handle: suspend (HttpReply) -> R,
): R? = RawUpstream { _, socket -> answer.stutter(length, socket) }.use {
    exchange(
        OutgoingRequest(it.address, RequestLine("GET", "/"), headTimeout = 2.seconds, idleTimeout = 500.milliseconds),
        handle
    )
        .getOrNull()
}

class ChunkedCopySpec : DescribeSpec({
    val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    val client = HttpClient(eventLoops)
    val clock = { Moment(0, 0) }

    afterSpec {
        client.close()
        eventLoops.shutdownGracefully()
    }

    // Guards against chunks that break off and are filled by an answer that their upstream writes a second time.
    describe("a chunked answer that breaks off within a chunk, before a second copy of it") {
        val plain = ChunkedAnswer("text/plain", List(2) { "the body of one answer, ".repeat(12) })
        // Each chunk holds as many events as a runner may write at once.
        val stream = ChunkedAnswer(
            "text/event-stream",
            (1..24).map { "id: $it\ndata: word $it of the answer\n\n" }.chunked(8).map { it.joinToString("") },
        )

        it("is not completed by the copy") {
            val wrong = plain.cuts.mapNotNull { length ->
                val body = client.readStutter(plain, length) { it.body.readAll(MAX_BYTES).getOrNull() }
                    ?.takeUnless { holdsAnswerTo(ID, it) }?.decodeToString()
                if (body == null || body == plain.body) null else length to body
            }
            wrong.shouldBeEmpty()
        }

        it("lends no bytes of the copy to the caller's stream") {
            val wrong = stream.cuts.mapNotNull { length ->
                val sent = ByteArrayOutputStream()
                val caller = CallerChannel({ _, _ -> }, { sent.write(it) }, { _, _, _ -> })
                client.readStutter(stream, length) {
                    StreamRelay(null).relay(upstreamReply(it, expected), MAX_PAUSE, clock, caller)
                }
                val text = sent.toByteArray().decodeToString()
                if (stream.body.startsWith(text)) null else length to text
            }
            wrong.shouldBeEmpty()
        }

        it("lends no bytes of the copy to the output of a batch item") {
            val words = (1..24).map { "word $it of the answer" }
            val wrong = stream.cuts.mapNotNull { length ->
                val output = ItemOutput(noProgress)
                client.readStutter(stream, length) { output.collect(upstreamReply(it, expected), MAX_PAUSE, clock) }
                val events = output.progress.events
                if (events == words.take(events.size)) null else length to events.last()
            }
            wrong.shouldBeEmpty()
        }
    }
})
