package figdeck.platform

import figdeck.http.client.ExchangeFailure
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Row
import figdeck.model.TableTransaction
import figdeck.model.map
import figdeck.store.query.FeedReply
import figdeck.store.query.RowChange
import figdeck.wire.decode
import figdeck.wire.lenientJson

private const val HTTP_OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val GONE = 410
private const val PRECONDITION_FAILED = 412
private const val TOO_LARGE = 413
private const val TOO_MANY_REQUESTS = 429
private const val SERVICE_UNAVAILABLE = 503

/** The status and body of a reply by which the store decided the call. */
internal data class StoreReply(
    val status: Int,
    val body: ByteArray,
) {
    val isFound: Boolean get() = status == HTTP_OK
}

/** A page of rows; their keys contain the name of the table. */
internal data class TablePage(
    val rows: List<Row>,
    val hasMore: Boolean,
    val version: Long,
    val storeMillis: Long,
)

/** Converts a failed exchange: only a request that was not sent is certain to have had no effect. */
internal fun ExchangeFailure.toResult(): CallResult<Nothing> = when (this) {
    is ExchangeFailure.NotSent -> CallResult.NotDone(reason)
    is ExchangeFailure.Lost -> CallResult.Unknown(reason)
}

/** Converts the [status] and [body] of a reply to the result of the call. A null [body] was too long. */
internal fun toStoreResult(status: Int, body: ByteArray?): CallResult<StoreReply> = when {
    status == BAD_REQUEST || status == TOO_LARGE -> CallResult.Refused("the store answered $status")
    status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE -> CallResult.NotDone("the store answered $status")
    body == null -> CallResult.Unknown("the store's reply exceeds the size limit")
    status in setOf(HTTP_OK, NOT_FOUND, GONE, PRECONDITION_FAILED) -> CallResult.Done(StoreReply(status, body))
    else -> CallResult.Unknown("the store answered $status")
}

internal fun decodeCommit(reply: StoreReply, transaction: TableTransaction): CallResult<CommitReply> =
    reply.decodeRows().map { decoded ->
        if (reply.status == PRECONDITION_FAILED) {
            CommitReply.Conflict(conflictingKeys(transaction, decoded.rows))
        } else {
            CommitReply.Committed(decoded.version)
        }
    }

/** The keys whose checks fail against the [current] rows; a row that is not among them does not exist. */
private fun conflictingKeys(transaction: TableTransaction, current: List<RowMessage>): List<String> {
    val versions = current.filterNot { it.removed }.associate { rowKey(it.table, it.key) to (it.version ?: ABSENT) }
    return transaction.checks.filter { (versions[it.key] ?: ABSENT) != it.version }.map { it.key }
}

internal fun decodePage(table: String, reply: StoreReply): CallResult<TablePage> = reply.decodeRows().map { decoded ->
    TablePage(decoded.rows.map { it.toRow(table) }, decoded.hasMore, decoded.version, decoded.storeMillis)
}

internal fun decodeChanges(reply: StoreReply): CallResult<FeedReply> =
    if (reply.status == GONE) {
        CallResult.Done(FeedReply.HistoryLost)
    } else {
        reply.decodeRows().map { decoded ->
            val changes = decoded.rows.map { message ->
                val row = Row(message.key, decodeValue(message.value), message.version ?: 0)
                RowChange(message.key, row.takeUnless { message.removed })
            }
            FeedReply.Changes(changes, decoded.version)
        }
    }

private fun StoreReply.decodeRows(): CallResult<RowsReply> =
    lenientJson.decode(RowsReply.serializer(), body.decodeToString()).fold(
        { CallResult.Unknown("the store's reply is invalid: $it") },
        { CallResult.Done(it) },
    )

private fun RowMessage.toRow(table: String): Row = Row(rowKey(table, key), decodeValue(value), version ?: 0)
