package figdeck.standin

import arrow.core.getOrElse
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpResponder
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import figdeck.platform.ATTEMPT_ID_HEADER
import figdeck.platform.EXPECTED_UPSTREAM_HEADER
import figdeck.platform.LAST_EVENT_ID_HEADER
import figdeck.platform.READY_STATE
import figdeck.platform.RESPONSE_STAMP_HEADER
import figdeck.platform.UpstreamMessage
import figdeck.platform.encodeUpstream
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.delay
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val IP = "127.0.0.1"
private const val OK = 200
private const val MISDIRECTED = 421
private const val UNPROCESSABLE = 422
private const val MAX_BODY_BYTES = 1024 * 1024

/** What an upstream saw of a request. */
internal data class SeenRequest(
    val method: String,
    val target: String,
    val headers: Map<String, String>,
    val body: String,
)

/**
 * How a stand-in's streams run.
 *
 * @property events the number of events of each.
 * @property breaks how many streams yet break off after two events; upstreams may share the count.
 */
internal data class StreamPace(
    val events: Int = 5,
    val breaks: AtomicInteger = AtomicInteger(),
    val perEvent: Duration = 5.milliseconds,
)

/** A stand-in for an upstream of the users' platform: a plain service under paths with `desk`, and else an engine. */
internal class RunnerStandIn(
    group: EventLoopGroup,
    private val id: String,
    private val pace: StreamPace = StreamPace(),
) : AutoCloseable {
    private val server = HttpServer(group, HttpServerLimits()) { call, responder -> answer(call, responder) }

    /** The requests that came, in order. */
    val seen: MutableList<SeenRequest> = CopyOnWriteArrayList()
    private val address: Address = server.listen(IP, 0)

    override fun close() = server.close()

    /** Its entry in the store, as one of [pool]. */
    fun entry(pool: String): String =
        encodeUpstream(
            UpstreamMessage(pool, address.toString(), dataCentre = "centre-a", slots = 4, state = READY_STATE)
        )

    private suspend fun answer(call: HttpCall, responder: HttpResponder) {
        val body = call.body.readAll(MAX_BODY_BYTES).getOrElse { ByteArray(0) }.decodeToString()
        seen += SeenRequest(call.method, call.target, call.headers.associate { it.key.lowercase() to it.value }, body)
        when {
            call.headers.get(EXPECTED_UPSTREAM_HEADER) != id -> responder.respond(MISDIRECTED, head(call), ByteArray(0))
            "impossible" in body -> responder.respond(UNPROCESSABLE, head(call), ByteArray(0))
            "desk" in call.path -> responder.respond(OK, head(call), "answer to $body".encodeToByteArray())
            else -> stream(call, responder)
        }
    }

    private suspend fun stream(call: HttpCall, responder: HttpResponder) {
        val first = (call.headers.get(LAST_EVENT_ID_HEADER)?.toInt() ?: 0) + 1
        val breaksHere = pace.breaks.getAndDecrement() > 0
        responder.start(OK, head(call).set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream"))
        for (i in first..pace.events) {
            if (breaksHere && i > first + 1) {
                responder.write("id: $i\nda".encodeToByteArray())
                throw IOException("the stream is broken off on purpose")
            }
            delay(pace.perEvent)
            responder.write("id: $i\ndata: word $i\n\n".encodeToByteArray())
        }
    }

    private fun head(call: HttpCall): HttpHeaders = newHeaders()
        .set(ATTEMPT_ID_HEADER, call.headers.get(ATTEMPT_ID_HEADER) ?: "none")
        .set(RESPONSE_STAMP_HEADER, "stamp-$id")
}
