package figdeck.platform

import figdeck.model.Row
import figdeck.model.TableTransaction
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A row in requests to the store and in its replies. */
@Serializable
internal data class RowMessage(
    @SerialName("Table") val table: String = "",
    @SerialName("part") val part: String = "",
    @SerialName("Key") val key: String = "",
    /** The value, encoded as Base64. */
    @SerialName("Value") val value: String? = null,
    /** The store's version at the last write of the row; in a condition, 0 means that the row must not exist. */
    @SerialName("Ver") val version: Long? = null,
    /** Whether the row has been removed. */
    @SerialName("Removed") val removed: Boolean = false,
)

/** A transaction: its writes take effect only if all conditions hold. */
@Serializable
internal data class TransactionMessage(
    /** Rows with the versions that they must have. */
    @SerialName("ExpectedRev") val conditions: List<RowMessage>,
    @SerialName("Puts") val puts: List<RowMessage>,
    /** The rows to remove. */
    @SerialName("Remove") val removals: List<RowMessage>,
)

/** The reply to a transaction, a scan or a wait for changes. */
@Serializable
internal data class RowsReply(
    @SerialName("Rows") val rows: List<RowMessage> = emptyList(),
    /** Whether there are more rows than the limit of the request. */
    @SerialName("HasMore") val hasMore: Boolean = false,
    /** The newest version of the store. */
    @SerialName("Ver") val version: Long = 0,
    /** The time of the store's steady clock, in milliseconds. */
    @SerialName("NowMs") val storeMillis: Long = 0,
)

/** Encodes [transaction] as the store reads it. */
internal fun encodeTransaction(transaction: TableTransaction): String {
    val (puts, removals) = transaction.writes.partition { it.value != null }
    val message = TransactionMessage(
        conditions = transaction.checks.map { rowMessage(it.key).copy(version = it.version) },
        puts = puts.map { rowMessage(it.key).copy(value = encodeValue(it.value.orEmpty())) },
        removals = removals.map { rowMessage(it.key) },
    )
    return lenientJson.encodeToString(TransactionMessage.serializer(), message)
}

/** Encodes [reply] as the store writes it. */
internal fun encodeRowsReply(reply: RowsReply): String = lenientJson.encodeToString(RowsReply.serializer(), reply)

/** Converts this row to a message of the store. */
internal fun Row.toMessage(): RowMessage = rowMessage(key).copy(value = encodeValue(value), version = version)
