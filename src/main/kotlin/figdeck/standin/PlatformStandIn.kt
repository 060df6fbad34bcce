package figdeck.standin

import arrow.core.getOrElse
import figdeck.command.Step
import figdeck.control.Control
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.http.server.parameter
import figdeck.model.Clock
import figdeck.model.CommitReply
import figdeck.wire.decodeHosts
import figdeck.wire.decodeTransaction
import figdeck.wire.encodeCommitReply
import figdeck.wire.encodeHosts
import figdeck.wire.encodeRows
import kotlinx.coroutines.delay
import java.io.IOException

private const val OK = 200
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val TOO_MANY = 429
private const val OUTAGE = 503
private const val MAX_BODY_BYTES = 64 * 1024 * 1024
private const val MAX_SCAN = 10_000

/** A stand-in for the platform: its table, objects and hosts list, with faults that can be switched while it runs. */
internal class PlatformStandIn(
    clock: Clock,
    private val limits: PlatformLimits = PlatformLimits(),
) : AutoCloseable {
    private val control = Control(emptyPlatform, clock)

    val handler: HttpHandler = { call, responder -> handle(call, responder) }

    override fun close() {
        control.close()
    }

    private suspend fun handle(call: HttpCall, responder: HttpResponder) {
        val body = call.body.readAll(MAX_BODY_BYTES).getOrElse { ByteArray(0) }
        if (call.path == "/faults") {
            setFaults(call)
            responder.full(OK, newHeaders(), ByteArray(0))
            return
        }
        val faults = control.run { state, _ -> Step(state, state.faults) }
        delay(faults.slowMillis)
        if (faults.outage) {
            responder.full(OUTAGE, newHeaders(), ByteArray(0))
            return
        }
        val admitted = !isWrite(call) || control.run { state, now -> admitWrite(state, limits, now) }
        val reply = if (admitted) serve(call, body) else StandInReply(TOO_MANY, ByteArray(0))
        if (faults.loseReplies) {
            throw IOException("the reply is lost on purpose")
        }
        responder.full(reply.status, newHeaders(), reply.body)
    }

    private suspend fun setFaults(call: HttpCall) {
        val faults = PlatformFaults(
            outage = call.parameter("outage").toBoolean(),
            slowMillis = call.parameter("slowMillis")?.toLong() ?: 0,
            loseReplies = call.parameter("loseReplies").toBoolean(),
        )
        control.run { state, _ -> Step(state.copy(faults = faults), Unit) }
    }

    private suspend fun serve(call: HttpCall, body: ByteArray): StandInReply = when (call.path) {
        "/table/commit" -> commitRows(body)
        "/table/row" -> readRow(call)
        "/table/scan" -> scanRows(call)
        "/objects" -> serveObject(call, body)
        "/hosts" -> serveHosts(call, body)
        else -> StandInReply(NOT_FOUND, ByteArray(0))
    }

    private suspend fun commitRows(body: ByteArray): StandInReply {
        val transaction = decodeTransaction(body.decodeToString())
        val reply = control.run { state, _ -> commit(state, transaction) }
        val status = if (reply is CommitReply.Conflict) CONFLICT else OK
        return StandInReply(status, encodeCommitReply(reply).encodeToByteArray())
    }

    private suspend fun readRow(call: HttpCall): StandInReply {
        val row = control.run { state, _ -> Step(state, state.rows[call.parameter("key").orEmpty()]) }
        val status = if (row == null) NOT_FOUND else OK
        return StandInReply(status, encodeRows(listOfNotNull(row)).encodeToByteArray())
    }

    private suspend fun scanRows(call: HttpCall): StandInReply {
        val prefix = call.parameter("prefix").orEmpty()
        val after = call.parameter("after").orEmpty()
        val limit = call.parameter("limit")?.toInt() ?: MAX_SCAN
        val rows = control.run { state, _ -> Step(state, scan(state, prefix, after, limit)) }
        return StandInReply(OK, encodeRows(rows).encodeToByteArray())
    }

    private suspend fun serveObject(call: HttpCall, body: ByteArray): StandInReply {
        val key = call.parameter("key").orEmpty()
        return when (call.method) {
            "PUT" -> {
                control.run { state, _ -> Step(state.copy(objects = state.objects.put(key, body)), Unit) }
                StandInReply(OK, ByteArray(0))
            }
            "DELETE" -> {
                control.run { state, _ -> Step(state.copy(objects = state.objects.remove(key)), Unit) }
                StandInReply(OK, ByteArray(0))
            }
            else -> {
                val bytes = control.run { state, _ -> Step(state, state.objects[key]) }
                if (bytes == null) StandInReply(NOT_FOUND, ByteArray(0)) else StandInReply(OK, bytes)
            }
        }
    }

    private suspend fun serveHosts(call: HttpCall, body: ByteArray): StandInReply {
        if (call.method == "PUT") {
            val hosts = decodeHosts(body.decodeToString())
            control.run { state, now -> changeHosts(state, hosts, now) }
        }
        val hosts = control.run { state, now -> Step(state, visibleHosts(state, limits, now)) }
        return StandInReply(OK, encodeHosts(hosts).encodeToByteArray())
    }
}

private fun isWrite(call: HttpCall): Boolean =
    call.path == "/table/commit" || (call.path == "/objects" && call.method != "GET")

private data class StandInReply(
    val status: Int,
    val body: ByteArray,
)
