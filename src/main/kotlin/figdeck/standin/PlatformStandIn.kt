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
import figdeck.model.ListedHost
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.platform.CHANGES_PATH
import figdeck.platform.LEAVING_STATE
import figdeck.platform.PUT_OBJECT_PATH
import figdeck.platform.READY_STATE
import figdeck.platform.ROWS_PATH
import figdeck.platform.RowMessage
import figdeck.platform.RowsReply
import figdeck.platform.StoreParameter
import figdeck.platform.TRANSACTION_PATH
import figdeck.platform.TransactionMessage
import figdeck.platform.UPSTREAM_TABLE
import figdeck.platform.UpstreamMessage
import figdeck.platform.decodeValue
import figdeck.platform.encodeRowsReply
import figdeck.platform.encodeUpstream
import figdeck.platform.encodeValue
import figdeck.platform.rowKey
import figdeck.platform.toMessage
import figdeck.wire.lenientJson
import kotlinx.coroutines.delay
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

private const val HTTP_OK = 200
private const val NOT_FOUND = 404
private const val PRECONDITION_FAILED = 412
private const val TOO_MANY_REQUESTS = 429
private const val SERVICE_UNAVAILABLE = 503
private const val MAX_BODY_BYTES = 64 * 1024 * 1024
private const val DEFAULT_ROW_LIMIT = 500
private val FEED_POLL_INTERVAL = 10.milliseconds

/** A stand-in for the platform: its table, objects and hosts list. Requests to `/faults` set its faults at run time. */
internal class PlatformStandIn(
    private val clock: Clock,
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
            responder.respond(HTTP_OK, newHeaders(), ByteArray(0))
            return
        }
        val faults = control.run { state, _ -> Step(state, state.faults) }
        delay(faults.slowMillis)
        if (faults.outage) {
            responder.respond(SERVICE_UNAVAILABLE, newHeaders(), ByteArray(0))
            return
        }
        val admitted = !isWrite(call) || control.run { state, now -> admitWrite(state, limits, now) }
        val reply = if (admitted) serve(call, body) else StandInResponse(TOO_MANY_REQUESTS, ByteArray(0))
        if (faults.loseReplies) {
            throw IOException("the reply is lost on purpose")
        }
        responder.respond(reply.status, newHeaders(), reply.body)
    }

    private suspend fun setFaults(call: HttpCall) {
        val faults = PlatformFaults(
            outage = call.parameter("outage").toBoolean(),
            slowMillis = call.parameter("slowMillis")?.toLong() ?: 0,
            loseReplies = call.parameter("loseReplies").toBoolean(),
        )
        control.run { state, _ -> Step(state.copy(faults = faults), Unit) }
    }

    private suspend fun serve(call: HttpCall, body: ByteArray): StandInResponse = when (call.path) {
        TRANSACTION_PATH -> commitRows(body)
        ROWS_PATH -> readRows(call)
        CHANGES_PATH -> awaitChanges(call)
        "/hosts" -> serveHosts(call, body)
        else -> serveObject(call, body)
    }

    private suspend fun commitRows(body: ByteArray): StandInResponse {
        val message = lenientJson.decodeFromString(TransactionMessage.serializer(), body.decodeToString())
        val transaction = message.toTransaction()
        val reply = control.run { state, _ -> commit(state, transaction) }
        return when (reply) {
            is CommitReply.Conflict -> {
                val (version, currentRows) = control.run { state, _ ->
                    Step(state, state.version to transaction.checks.mapNotNull { state.rows[it.key] })
                }
                StandInResponse(PRECONDITION_FAILED, encodeRows(currentRows.map { it.toMessage() }, version))
            }
            is CommitReply.Committed -> StandInResponse(HTTP_OK, encodeRows(emptyList(), version = reply.version))
        }
    }

    private suspend fun readRows(call: HttpCall): StandInResponse {
        val table = call.parameter(StoreParameter.TABLE).orEmpty()
        val from = call.parameter(StoreParameter.FROM).orEmpty()
        val to = call.parameter(StoreParameter.TO)
        val limit = call.parameter(StoreParameter.LIMIT)?.toInt() ?: DEFAULT_ROW_LIMIT
        val (version, rows) = control.run { state, now ->
            Step(state, state.version to tableRows(state, table, visibleHosts(state, limits, now)))
        }
        val matching = rows.filter { it.key >= from && (to == null || it.key < to) }
        return StandInResponse(HTTP_OK, encodeRows(matching.take(limit), version, hasMore = matching.size > limit))
    }

    private suspend fun awaitChanges(call: HttpCall): StandInResponse {
        val prefix = rowKey(call.parameter(StoreParameter.TABLE).orEmpty(), "")
        val after = call.parameter(StoreParameter.AFTER)?.toLong() ?: 0
        val deadline = clock() + (call.parameter(StoreParameter.WAIT)?.toInt() ?: 0).milliseconds
        var changes = control.readChanges(prefix, after)
        while (changes.isEmpty && clock() < deadline) {
            delay(FEED_POLL_INTERVAL)
            changes = control.readChanges(prefix, after)
        }
        val rows = changes.written.map { it.toMessage() } + changes.removed.map { it.toMessage().copy(removed = true) }
        return StandInResponse(HTTP_OK, encodeRows(rows, changes.version))
    }

    private fun encodeRows(
        rows: List<RowMessage>,
        version: Long,
        hasMore: Boolean = false,
    ): ByteArray {
        val reply = RowsReply(rows, hasMore, version, clock().epochMillis)
        return encodeRowsReply(reply).encodeToByteArray()
    }

    private suspend fun serveObject(call: HttpCall, body: ByteArray): StandInResponse {
        val key = call.path.substringAfter('/').substringAfter('/')
        return when (call.method) {
            "PUT" -> {
                control.run { state, _ -> Step(state.copy(objects = state.objects.put(key, body)), Unit) }
                StandInResponse(HTTP_OK, ByteArray(0))
            }
            "DELETE" -> {
                control.run { state, _ -> Step(state.copy(objects = state.objects.remove(key)), Unit) }
                StandInResponse(HTTP_OK, ByteArray(0))
            }
            else -> {
                val bytes = control.run { state, _ -> Step(state, state.objects[key]) }
                if (bytes == null) StandInResponse(NOT_FOUND, ByteArray(0)) else StandInResponse(HTTP_OK, bytes)
            }
        }
    }

    private suspend fun serveHosts(call: HttpCall, body: ByteArray): StandInResponse {
        if (call.method == "PUT") {
            val hosts = decodeHosts(body.decodeToString())
            control.run { state, now -> replaceHosts(state, hosts, now) }
        }
        val hosts = control.run { state, now -> Step(state, visibleHosts(state, limits, now)) }
        return StandInResponse(HTTP_OK, encodeHosts(hosts).encodeToByteArray())
    }
}

private fun tableRows(state: PlatformState, table: String, hosts: List<ListedHost>): List<RowMessage> {
    val stored = scan(state, rowKey(table, ""), "", Int.MAX_VALUE).map { it.toMessage() }
    val listed = if (table == UPSTREAM_TABLE) hosts.map { it.toMessage() } else emptyList()
    return (stored + listed).sortedBy { it.key }
}

private fun isWrite(call: HttpCall): Boolean = call.path == TRANSACTION_PATH || call.path.startsWith(PUT_OBJECT_PATH)

private fun TransactionMessage.toTransaction() = TableTransaction(
    checks = conditions.map { RowCheck(rowKey(it.table, it.key), it.version ?: 0) },
    writes = puts.map { RowWrite(rowKey(it.table, it.key), decodeValue(it.value)) } +
        removals.map { RowWrite(rowKey(it.table, it.key), null) },
)

/**
 * Converts a host to the row that an upstream would store for itself. The hosts list provides the name, address, data
 * centre and leaving state; the other fields have fixed values.
 */
private fun ListedHost.toMessage(): RowMessage {
    val entry = UpstreamMessage(
        pool = "listed",
        address = address.toString(),
        dataCentre = dataCentre.value,
        slots = 1,
        state = if (leaving) LEAVING_STATE else READY_STATE,
    )
    return RowMessage(table = UPSTREAM_TABLE, key = name, value = encodeValue(encodeUpstream(entry)), version = 1)
}

private data class StandInResponse(
    val status: Int,
    val body: ByteArray,
)

/** Reads the changes and their version in one step, so that no commit falls between the two. */
private suspend fun Control<PlatformState>.readChanges(prefix: String, after: Long): TableChanges =
    run { state, _ -> Step(state, changesAfter(state, prefix, after)) }
