package figdeck.standin

import arrow.core.getOrElse
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import java.util.concurrent.ConcurrentHashMap

private const val HTTP_OK = 200
private const val MAX_BODY_BYTES = 1024 * 1024

/** A stand-in for a plain service that counts the calls by path and body. */
internal class ServiceStandIn {
    private val runCounts = ConcurrentHashMap<String, Int>()

    val handler: HttpHandler = { call, responder ->
        if (call.path == "/runs") {
            sendRunCounts(responder)
        } else {
            run(call, responder)
        }
    }

    private suspend fun run(call: HttpCall, responder: HttpResponder) {
        val body = call.body.readAll(MAX_BODY_BYTES).getOrElse { ByteArray(0) }.decodeToString()
        val count = runCounts.merge("${call.path} $body", 1, Int::plus)
        val answer = """{"path":"${call.path}","free":true,"run":$count}"""
        responder.respond(HTTP_OK, newHeaders().set("content-type", "application/json"), answer.encodeToByteArray())
    }

    private suspend fun sendRunCounts(responder: HttpResponder) {
        val lines = runCounts.entries.sortedBy { it.key }.joinToString("\n") { "${it.value} ${it.key}" }
        responder.respond(HTTP_OK, newHeaders(), lines.encodeToByteArray())
    }
}
