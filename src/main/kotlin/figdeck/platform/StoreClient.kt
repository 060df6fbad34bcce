package figdeck.platform

import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.client.encodeSegment
import figdeck.http.client.fetchWhole
import figdeck.http.newHeaders
import figdeck.model.Address
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.ListedHost
import figdeck.model.Row
import figdeck.model.TableTransaction
import figdeck.model.map
import figdeck.model.valueOrNull
import figdeck.store.Store
import figdeck.store.command.StoreCommands
import figdeck.store.query.FeedReply
import figdeck.store.query.Lookup
import figdeck.store.query.RowPage
import figdeck.store.query.StoreQueries
import figdeck.store.query.TableFeed
import figdeck.store.query.TableSnapshot
import figdeck.store.query.allRows
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The timeout of a call: several times what the store takes when it is slow. */
private val CALL_TIMEOUT = 1.seconds

/** How long a reply may take after its head is due. */
private val BODY_TIMEOUT = 2.seconds

/** Several times the longest page of rows in Base64. The replies of all loops together must fit into a small heap. */
private const val MAX_ROWS_BYTES = 4 * 1024 * 1024
private const val MAX_OBJECT_BYTES = 16 * 1024 * 1024
private const val SCAN_PAGE_ROWS = 500
private const val JSON_TYPE = "application/json"

/**
 * A client of the platform's store at [address]. The row key `table/key` names the row `key` of that table; all rows
 * are in the part without a name.
 */
internal class StoreClient(
    private val client: HttpClient,
    private val address: Address,
    private val callTimeout: Duration = CALL_TIMEOUT,
) {
    /** The store operations of the product, carried out by this client. */
    val store: Store = Store(
        StoreCommands(
            commit = ::commit,
            putObject = { key, bytes -> send("PUT", PUT_OBJECT_PATH + encodeSegment(key), bytes).map { } },
            deleteObject = { key -> send("DELETE", DELETE_OBJECT_PATH + encodeSegment(key)).map { } },
        ),
        StoreQueries(
            readRow = ::readRow,
            scanRows = ::scanRows,
            readObject = ::readObject,
            listHosts = ::listHosts,
        ),
    )

    /** Reads whole tables and their changes. */
    val feed: TableFeed = TableFeed(snapshot = ::snapshot, page = ::page, changes = ::changes)

    private suspend fun commit(transaction: TableTransaction): CallResult<CommitReply> {
        val body = encodeTransaction(transaction).encodeToByteArray()
        return when (val reply = send("POST", TRANSACTION_PATH, body)) {
            is CallResult.Done -> decodeCommit(reply.value, transaction)
            is CallResult.NotDone -> reply
            is CallResult.Refused -> reply
            is CallResult.Unknown -> reply
        }
    }

    private suspend fun readRow(key: String): CallResult<Lookup<Row>> =
        scan(tableName(key), keyInTable(key), keyInTable(key) + LOWEST_CHARACTER, 1)
            .map { Lookup(it.rows.firstOrNull()) }

    private suspend fun scanRows(prefix: String, after: String, limit: Int): CallResult<List<Row>> {
        val table = tableName(prefix)
        val end = keyInTable(prefix).prefixEnd()
        val from = if (after > prefix) keyInTable(after) + LOWEST_CHARACTER else keyInTable(prefix)
        var read = scan(table, from, end, minOf(limit, SCAN_PAGE_ROWS))
        var rows = read.rows()
        while (read is CallResult.Done && read.value.hasMore && rows.size < limit) {
            read = scan(
                table,
                keyInTable(rows.last().key) + LOWEST_CHARACTER,
                end,
                minOf(limit - rows.size, SCAN_PAGE_ROWS),
            )
            rows = rows + read.rows()
        }
        return read.map { rows }
    }

    private suspend fun listHosts(): CallResult<List<ListedHost>> = snapshot(UPSTREAM_TABLE, allRows).map { table ->
        table.rows.mapNotNull { row -> decodeUpstream(row.key, row.value).getOrNull() }
            .map { with(it.upstream) { ListedHost(id.value, address, dataCentre, it.isLeaving) } }
    }

    private suspend fun readObject(key: String): CallResult<Lookup<ByteArray>> =
        send("GET", GET_OBJECT_PATH + encodeSegment(key), maxBytes = MAX_OBJECT_BYTES).map {
            Lookup(it.body.takeIf { _ -> it.isFound })
        }

    private suspend fun snapshot(table: String, keep: (Row) -> Boolean): CallResult<TableSnapshot> {
        var read: CallResult<TablePage> = scan(table, "", null, SCAN_PAGE_ROWS)
        val rows = read.rowsInTable().filterTo(mutableListOf(), keep)
        // Rows that change while later pages are read are among the changes after the version of the first page.
        val version = read.valueOrNull()?.version ?: 0
        while (read is CallResult.Done && read.value.hasMore && read.value.rows.isNotEmpty()) {
            read = scan(table, keyInTable(read.value.rows.last().key) + LOWEST_CHARACTER, null, SCAN_PAGE_ROWS)
            read.rowsInTable().filterTo(rows, keep)
        }
        return read.map { last -> TableSnapshot(rows, version, last.storeMillis) }
    }

    private suspend fun page(table: String, after: String, limit: Int): CallResult<RowPage> {
        val from = if (after.isEmpty()) "" else after + LOWEST_CHARACTER
        return scan(table, from, null, limit).map { page ->
            RowPage(page.rows.map { it.copy(key = keyInTable(it.key)) }, page.hasMore, page.version)
        }
    }

    private suspend fun changes(table: String, after: Long, wait: Duration): CallResult<FeedReply> {
        val target = storeTarget(
            CHANGES_PATH,
            StoreParameter.TABLE to table,
            StoreParameter.AFTER to "$after",
            StoreParameter.WAIT to "${wait.inWholeMilliseconds}",
        )
        return when (val reply = send("GET", target, timeout = wait + callTimeout)) {
            is CallResult.Done -> decodeChanges(reply.value)
            is CallResult.NotDone -> reply
            is CallResult.Refused -> reply
            is CallResult.Unknown -> reply
        }
    }

    private suspend fun scan(table: String, from: String, to: String?, limit: Int): CallResult<TablePage> {
        val target = storeTarget(
            ROWS_PATH,
            StoreParameter.TABLE to table,
            StoreParameter.PART to "",
            StoreParameter.FROM to from,
            StoreParameter.TO to to,
            StoreParameter.LIMIT to "$limit",
        )
        return when (val reply = send("GET", target)) {
            is CallResult.Done -> decodePage(table, reply.value)
            is CallResult.NotDone -> reply
            is CallResult.Refused -> reply
            is CallResult.Unknown -> reply
        }
    }

    private suspend fun send(
        method: String,
        target: String,
        body: ByteArray = ByteArray(0),
        timeout: Duration = callTimeout,
        maxBytes: Int = MAX_ROWS_BYTES,
    ): CallResult<StoreReply> {
        val headers = newHeaders()
        if (body.isNotEmpty()) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, JSON_TYPE)
        }
        val request = OutgoingRequest(address, RequestLine(method, target), headers, body, false, timeout, timeout)
        return client.fetchWhole(request, maxBytes, timeout + BODY_TIMEOUT)
            .fold({ it.toResult() }, { toStoreResult(it.status, it.body) })
    }
}

private fun CallResult<TablePage>.rows(): List<Row> = valueOrNull()?.rows.orEmpty()

/** The rows of this page, without the name of the table in their keys. */
private fun CallResult<TablePage>.rowsInTable(): List<Row> = rows().map { it.copy(key = keyInTable(it.key)) }
