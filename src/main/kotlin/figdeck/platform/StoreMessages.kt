package figdeck.platform

import figdeck.model.Row
import figdeck.model.TableTransaction
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A row as the store writes it. */
@Serializable
internal data class RowMessage(
    @SerialName("Table") val table: String = "",
    @SerialName("part") val part: String = "",
    @SerialName("Key") val key: String = "",
    /** Base64 of the value. */
    @SerialName("Value") val value: String? = null,
    /** The store's version at which the row was written last; 0 in a condition that the row must not exist. */
    @SerialName("Ver") val version: Long? = null,
    /** Whether the row was removed. */
    @SerialName("Removed") val removed: Boolean = false,
)

/** The entries of a transaction. */
@Serializable
internal data class TransactionMessage(
    /** The rows and the versions at which they must stand. */
    @SerialName("ExpectedRev") val conditions: List<RowMessage>,
    @SerialName("Puts") val puts: List<RowMessage>,
    /** The rows to remove. */
    @SerialName("Remove") val removals: List<RowMessage>,
)

/** The reply to a transaction, a read or a wait for changes. */
@Serializable
internal data class RowsReply(
    @SerialName("Rows") val rows: List<RowMessage> = emptyList(),
    /** Whether the rows were cut at the limit. */
    @SerialName("HasMore") val hasMore: Boolean = false,
    /** The newest version of the store. */
    @SerialName("Ver") val version: Long = 0,
    /** The store's steady clock in milliseconds. */
    @SerialName("NowMs") val storeMillis: Long = 0,
)

/** Writes [transaction] as the store reads it. */
internal fun encodeTransaction(transaction: TableTransaction): String {
    val (puts, removals) = transaction.writes.partition { it.value != null }
    val message = TransactionMessage(
        conditions = transaction.checks.map { rowMessage(it.key).copy(version = it.version) },
        puts = puts.map { rowMessage(it.key).copy(value = encodeValue(it.value.orEmpty())) },
        removals = removals.map { rowMessage(it.key) },
    )
    return lenientJson.encodeToString(TransactionMessage.serializer(), message)
}

/** Writes a reply with [rows] as the store does. */
internal fun encodeRowsReply(reply: RowsReply): String = lenientJson.encodeToString(RowsReply.serializer(), reply)

/** This row as the store writes it. */
internal fun Row.toMessage(): RowMessage = rowMessage(key).copy(value = encodeValue(value), version = version)
