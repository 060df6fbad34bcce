package figdeck.process

import arrow.core.getOrElse
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpResponder
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.delay
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

private const val LIMIT = 1024 * 1024

/** What an upstream saw of a request. */
data class Seen(
    val method: String,
    val target: String,
    val headers: Map<String, String>,
    val body: String,
)

/**
 * An upstream of the users' platform, for tests.
 *
 * @property events the number of events of its streams.
 * @property breaks how many streams yet break off after two events; upstreams may share the count.
 */
class EdgeRunner(
    group: EventLoopGroup,
    private val id: String,
    private val events: Int = 5,
    private val breaks: AtomicInteger = AtomicInteger(),
    private val eventMillis: Long = 5,
) : AutoCloseable {
    private val server = HttpServer(group, HttpServerLimits()) { call, responder -> answer(call, responder) }
    val seen = CopyOnWriteArrayList<Seen>()
    val address: Address = server.listen(IP, 0)

    override fun close() = server.close()

    /** Its entry in the store. */
    fun entry(pool: String): String =
        """{"Service":"$pool","Address":"$address","Zone":"centre-a","Slots":4,"State":"ready","Seq":1}"""

    private suspend fun answer(call: HttpCall, responder: HttpResponder) {
        val body = call.body.readAll(LIMIT).getOrElse { ByteArray(0) }.decodeToString()
        seen += Seen(call.method, call.target, call.headers.associate { it.key.lowercase() to it.value }, body)
        when {
            call.headers.get("X-Expect-Instance") != id -> responder.full(421, head(call), ByteArray(0))
            "impossible" in body -> responder.full(422, head(call), ByteArray(0))
            "desk" in call.path -> responder.full(200, head(call), "answer to $body".encodeToByteArray())
            else -> stream(call, responder)
        }
    }

    private suspend fun stream(call: HttpCall, responder: HttpResponder) {
        val first = (call.headers.get("Last-Event-Id")?.toInt() ?: 0) + 1
        val breaksHere = breaks.getAndDecrement() > 0
        responder.start(200, head(call).set("Content-Type", "text/event-stream"))
        for (i in first..events) {
            if (breaksHere && i > first + 1) {
                responder.write("id: $i\nda".encodeToByteArray())
                delay(20.milliseconds)
                throw IOException("the stream is broken off on purpose")
            }
            delay(eventMillis.milliseconds)
            responder.write("id: $i\ndata: word $i\n\n".encodeToByteArray())
        }
    }

    private fun head(call: HttpCall): HttpHeaders = newHeaders()
        .set("X-Attempt-Id", call.headers.get("X-Attempt-Id") ?: "none")
        .set("X-Response-Stamp", "stamp-$id")
        .set("X-Instance-Id", id)
}
