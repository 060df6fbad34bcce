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
import figdeck.platform.EXPECTED_WEIGHTS_HEADER
import figdeck.platform.LAST_EVENT_ID_HEADER
import figdeck.platform.LEAVING_HEADER
import figdeck.platform.LIMIT_HEADER
import figdeck.platform.READY_STATE
import figdeck.platform.RESPONSE_STAMP_HEADER
import figdeck.platform.UPSTREAM_ID_HEADER
import figdeck.platform.UpstreamMessage
import figdeck.platform.WEIGHTS_HEADER
import figdeck.platform.encodeUpstream
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val LOOPBACK = "127.0.0.1"
private const val HTTP_OK = 200
private const val MISDIRECTED_REQUEST = 421
private const val UNPROCESSABLE_CONTENT = 422
private const val MAX_BODY_BYTES = 1024 * 1024
private const val DEFAULT_SLOTS = 4

/** A request as an upstream received it. */
internal data class ReceivedRequest(
    val method: String,
    val target: String,
    val headers: Map<String, String>,
    val body: String,
    val receivedAt: ComparableTimeMark,
)

/**
 * How a [RunnerStandIn] answers.
 *
 * @property eventCount the number of events per stream.
 * @property remainingBreaks how many more streams to abort after two events; upstreams may share the counter.
 * @property eventInterval the delay before each event.
 * @property serviceTime the delay before the answer of a plain service.
 * @property isLeaving whether its answers say that it is shutting down.
 * @property weights the version of its weights, which its answers name; null to name none and to accept all requests.
 * @property namesItself whether it names itself when it rejects a request as misdirected.
 * @property advertisedLimit the requests per second that its answers say it takes; null if they say nothing.
 */
internal data class RunnerSettings(
    val eventCount: Int = 5,
    val remainingBreaks: AtomicInteger = AtomicInteger(),
    val eventInterval: Duration = 5.milliseconds,
    val serviceTime: Duration = Duration.ZERO,
    val isLeaving: Boolean = false,
    val weights: Int? = null,
    val namesItself: Boolean = false,
    val advertisedLimit: () -> String? = { null },
)

/**
 * A stand-in for an upstream of the users' platform. It answers as a plain service under paths that contain `desk`, and
 * streams as an engine under all others.
 *
 * @property isFatal whether a request makes it crash: it closes itself and answers nobody.
 */
internal class RunnerStandIn(
    eventLoops: EventLoopGroup,
    private val id: String,
    private val settings: RunnerSettings = RunnerSettings(),
    private val isFatal: (ReceivedRequest) -> Boolean = { false },
) : AutoCloseable {
    private val server = HttpServer(eventLoops, HttpServerLimits()) { call, responder -> handle(call, responder) }

    /** The received requests, in order. */
    val received: MutableList<ReceivedRequest> = CopyOnWriteArrayList()
    private val address: Address = server.listen(LOOPBACK, 0)

    override fun close() = server.close()

    /** Encodes its store entry as an upstream of [pool] that started at [startedAtMillis], if that is to be said. */
    fun encodeEntry(
        pool: String,
        slots: Int = DEFAULT_SLOTS,
        dataCentre: String = "centre-a",
        startedAtMillis: Long? = null,
    ): String = encodeUpstream(
        UpstreamMessage(
            pool,
            address.toString(),
            dataCentre,
            slots = slots,
            state = READY_STATE,
            startedAtMillis = startedAtMillis?.toDouble(),
        ),
    )

    private suspend fun handle(call: HttpCall, responder: HttpResponder) {
        val body = call.body.readAll(MAX_BODY_BYTES).getOrElse { ByteArray(0) }.decodeToString()
        val request = ReceivedRequest(
            call.method,
            call.target,
            call.headers.associate { it.key.lowercase() to it.value },
            body,
            TimeSource.Monotonic.markNow(),
        )
        received += request
        when {
            isFatal(request) -> crash()
            call.headers.get(EXPECTED_UPSTREAM_HEADER) != id || expectsOtherWeights(call) ->
                responder.respond(MISDIRECTED_REQUEST, rejectionHeaders(call), ByteArray(0))
            "impossible" in body -> responder.respond(UNPROCESSABLE_CONTENT, responseHeaders(call), ByteArray(0))
            "desk" in call.path -> answer(call, body, responder)
            else -> stream(call, responder)
        }
    }

    private fun expectsOtherWeights(call: HttpCall): Boolean {
        val expected = call.headers.get(EXPECTED_WEIGHTS_HEADER)
        return expected != null && settings.weights != null && expected != settings.weights.toString()
    }

    private fun rejectionHeaders(call: HttpCall): HttpHeaders =
        responseHeaders(call).also { if (settings.namesItself) it.set(UPSTREAM_ID_HEADER, id) }

    /** Closes the server on another thread, because closing waits for the event loop that this runs on. */
    private suspend fun crash() {
        thread(isDaemon = true) { close() }
        awaitCancellation()
    }

    private suspend fun answer(call: HttpCall, body: String, responder: HttpResponder) {
        delay(settings.serviceTime)
        responder.respond(HTTP_OK, responseHeaders(call), "answer to $body".encodeToByteArray())
    }

    private suspend fun stream(call: HttpCall, responder: HttpResponder) {
        val firstEvent = (call.headers.get(LAST_EVENT_ID_HEADER)?.toInt() ?: 0) + 1
        val breaksOff = settings.remainingBreaks.getAndDecrement() > 0
        responder.start(HTTP_OK, responseHeaders(call).set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream"))
        for (i in firstEvent..settings.eventCount) {
            if (breaksOff && i > firstEvent + 1) {
                responder.write("id: $i\nda".encodeToByteArray())
                throw IOException("the stream is broken off on purpose")
            }
            delay(settings.eventInterval)
            responder.write("id: $i\ndata: word $i\n\n".encodeToByteArray())
        }
    }

    private fun responseHeaders(call: HttpCall): HttpHeaders = newHeaders()
        .set(ATTEMPT_ID_HEADER, call.headers.get(ATTEMPT_ID_HEADER) ?: "none")
        .set(RESPONSE_STAMP_HEADER, "stamp-$id")
        .also { if (settings.isLeaving) it.set(LEAVING_HEADER, "1") }
        .also { headers -> settings.weights?.let { headers.set(WEIGHTS_HEADER, it) } }
        .also { headers -> settings.advertisedLimit()?.let { headers.set(LIMIT_HEADER, it) } }
}
