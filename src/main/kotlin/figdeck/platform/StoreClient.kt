package figdeck.platform

import arrow.core.Either
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.model.Address
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Row
import figdeck.model.TableTransaction
import figdeck.model.map
import figdeck.store.Store
import figdeck.store.command.StoreCommands
import figdeck.store.query.FeedReply
import figdeck.store.query.Found
import figdeck.store.query.RowChange
import figdeck.store.query.StoreQueries
import figdeck.store.query.TableFeed
import figdeck.store.query.TableSnapshot
import figdeck.wire.decode
import figdeck.wire.lenientJson
import io.netty.handler.codec.http.HttpHeaderNames
import java.net.URLEncoder
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The longest wait for a call, several times what the store takes when it is slow. */
private val CALL_DEADLINE = 1.seconds
private const val MAX_REPLY_BYTES = 16 * 1024 * 1024
private const val PAGE_ROWS = 500
private const val OK = 200
private const val NOT_FOUND = 404
private const val GONE = 410
private const val PRECONDITION_FAILED = 412
private const val TOO_MANY = 429
private const val UNAVAILABLE = 503
private const val JSON_TYPE = "application/json"

/**
 * The platform's store at [address]. A row key `table/key` names a row of that table; all rows stand in one part.
 */
internal class StoreClient(
    private val client: HttpClient,
    private val address: Address,
    private val deadline: Duration = CALL_DEADLINE,
) {
    /** The ports that the product uses. */
    val store: Store = Store(
        StoreCommands(
            commit = ::commit,
            putObject = { key, bytes -> send("PUT", "/blob-put/${encode(key)}", bytes).map { } },
            deleteObject = { key -> send("DELETE", "/blob-drop/${encode(key)}").map { } },
        ),
        StoreQueries(
            readRow = { key -> scan(tableOf(key), keyOf(key), keyOf(key) + FIRST_CHARACTER, 1).map { Found(it.first) } },
            scanRows = ::scanRows,
            readObject = ::readObject,
            listHosts = { CallResult.Done(emptyList()) },
        ),
    )

    /** Reads tables and follows their changes. */
    val feed: TableFeed = TableFeed(snapshot = ::snapshot, changes = ::changes)

    private suspend fun commit(transaction: TableTransaction): CallResult<CommitReply> {
        val (puts, removals) = transaction.writes.partition { it.value != null }
        val message = TransactionMessage(
            conditions = transaction.checks.map { rowMessage(it.key).copy(version = it.version) },
            puts = puts.map { rowMessage(it.key).copy(value = encodeValue(it.value.orEmpty())) },
            removals = removals.map { rowMessage(it.key) },
        )
        val body = lenientJson.encodeToString(TransactionMessage.serializer(), message).encodeToByteArray()
        return when (val reply = send("POST", "/rows-tx", body)) {
            is CallResult.Done -> decodeCommit(reply.value, transaction)
            is CallResult.NotDone -> reply
            is CallResult.Unknown -> reply
        }
    }

    private suspend fun scanRows(prefix: String, after: String, limit: Int): CallResult<List<Row>> {
        val table = tableOf(prefix)
        val start = keyOf(prefix)
        val from = if (after > prefix) keyOf(after) + FIRST_CHARACTER else start
        return scan(table, from, start.endOfPrefix(), limit).map { it.rows }
    }

    private suspend fun readObject(key: String): CallResult<Found<ByteArray>> =
        send("GET", "/blob-get/${encode(key)}").map { Found(it.body.takeIf { _ -> it.status == OK }) }

    private suspend fun snapshot(table: String): CallResult<TableSnapshot> {
        val rows = mutableListOf<Row>()
        var from = ""
        while (true) {
            val page = when (val read = scan(table, from, null, PAGE_ROWS)) {
                is CallResult.Done -> read.value
                is CallResult.NotDone -> return read
                is CallResult.Unknown -> return read
            }
            rows += page.rows.map { it.copy(key = keyOf(it.key)) }
            if (!page.hasMore || page.rows.isEmpty()) {
                return CallResult.Done(TableSnapshot(rows, page.version, page.storeMillis))
            }
            from = keyOf(page.rows.last().key) + FIRST_CHARACTER
        }
    }

    private suspend fun changes(table: String, after: Long, wait: Duration): CallResult<FeedReply> {
        val target = "/rows-feed?Table=${encode(table)}&After=$after&WaitMs=${wait.inWholeMilliseconds}"
        return when (val reply = send("GET", target, timeout = wait + deadline)) {
            is CallResult.Done -> decodeChanges(reply.value)
            is CallResult.NotDone -> reply
            is CallResult.Unknown -> reply
        }
    }

    private suspend fun scan(table: String, from: String, to: String?, limit: Int): CallResult<Page> {
        val end = to?.let { "&To=${encode(it)}" }.orEmpty()
        val target = "/rows-get?Table=${encode(table)}&part=&From=${encode(from)}$end&Limit=$limit"
        return when (val reply = send("GET", target)) {
            is CallResult.Done -> decodePage(table, reply.value)
            is CallResult.NotDone -> reply
            is CallResult.Unknown -> reply
        }
    }

    private suspend fun send(
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
        timeout: Duration = deadline,
    ): CallResult<StoreReply> {
        val headers = newHeaders()
        if (body.isNotEmpty()) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, JSON_TYPE)
        }
        val request = OutgoingRequest(address, method, target, headers, body, false, timeout, timeout)
        val result = client.exchange(request) { it.status to it.body.readAll(MAX_REPLY_BYTES).getOrNull() }
        return when (result) {
            is Either.Left -> result.value.toResult()
            is Either.Right -> toResult(result.value.first, result.value.second)
        }
    }
}

/** The key after `x` in byte order is `x` with this character. */
private const val FIRST_CHARACTER = "\u0000"
private const val SEPARATOR = '/'

private data class StoreReply(
    val status: Int,
    val body: ByteArray,
)

/** Rows of a table, with their table in the key. */
private data class Page(
    val rows: List<Row>,
    val hasMore: Boolean,
    val version: Long,
    val storeMillis: Long,
) {
    val first: Row? get() = rows.firstOrNull()
}

private fun ExchangeFailure.toResult(): CallResult<Nothing> = when (this) {
    is ExchangeFailure.NotSent -> CallResult.NotDone(reason)
    is ExchangeFailure.Lost -> CallResult.Unknown(reason)
}

private fun toResult(status: Int, body: ByteArray?): CallResult<StoreReply> = when {
    body == null -> CallResult.Unknown("the store's reply is too long")
    status == TOO_MANY || status == UNAVAILABLE -> CallResult.NotDone("the store answered $status")
    status in setOf(OK, NOT_FOUND, GONE, PRECONDITION_FAILED) -> CallResult.Done(StoreReply(status, body))
    else -> CallResult.Unknown("the store answered $status")
}

private fun decodeCommit(reply: StoreReply, transaction: TableTransaction): CallResult<CommitReply> =
    if (reply.status == PRECONDITION_FAILED) {
        CallResult.Done(CommitReply.Conflict(transaction.checks.map { it.key }))
    } else {
        reply.decodeRows().map { CommitReply.Committed(it.version) }
    }

private fun decodePage(table: String, reply: StoreReply): CallResult<Page> = reply.decodeRows().map { decoded ->
    Page(decoded.rows.map { it.toRow(table) }, decoded.hasMore, decoded.version, decoded.storeMillis)
}

private fun decodeChanges(reply: StoreReply): CallResult<FeedReply> =
    if (reply.status == GONE) {
        CallResult.Done(FeedReply.HistoryLost)
    } else {
        reply.decodeRows().map { decoded ->
            val changes = decoded.rows.map { message ->
                val row = if (message.removed) null else Row(message.key, decodeValue(message.value), message.version ?: 0)
                RowChange(message.key, row)
            }
            FeedReply.Changes(changes, decoded.version)
        }
    }

private fun StoreReply.decodeRows(): CallResult<RowsReply> =
    lenientJson.decode(RowsReply.serializer(), body.decodeToString()).fold(
        { CallResult.Unknown("the store's reply can't be read: $it") },
        { CallResult.Done(it) },
    )

private fun RowMessage.toRow(table: String): Row = Row("$table$SEPARATOR$key", decodeValue(value), version ?: 0)

private fun rowMessage(key: String): RowMessage = RowMessage(table = tableOf(key), key = keyOf(key))

private fun tableOf(key: String): String = key.substringBefore(SEPARATOR)

private fun keyOf(key: String): String = key.substringAfter(SEPARATOR, "")

private fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

private fun encodeValue(value: String): String = Base64.getEncoder().encodeToString(value.encodeToByteArray())

/** Values of other writers may be anything; what isn't Base64 reads as an empty value. */
private fun decodeValue(value: String?): String = try {
    Base64.getDecoder().decode(value.orEmpty()).decodeToString()
} catch (_: IllegalArgumentException) {
    ""
}

/** The first key after all that start with this one; null for the empty prefix. */
private fun String.endOfPrefix(): String? = if (isEmpty()) null else dropLast(1) + (last() + 1)
