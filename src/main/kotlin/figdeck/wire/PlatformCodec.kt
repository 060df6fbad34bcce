package figdeck.wire

import figdeck.model.Address
import figdeck.model.CommitReply
import figdeck.model.DataCentre
import figdeck.model.ListedHost
import figdeck.model.Row
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.parseAddress
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer

@Serializable
internal data class TransactionDto(
    val checks: List<RowCheckDto>,
    val writes: List<RowWriteDto>,
)

@Serializable
internal data class RowCheckDto(
    val key: String,
    val version: Long,
)

@Serializable
internal data class RowWriteDto(
    val key: String,
    val value: String? = null,
)

@Serializable
internal data class CommitReplyDto(
    val version: Long? = null,
    val conflicts: List<String> = emptyList(),
)

@Serializable
internal data class RowDto(
    val key: String,
    val value: String,
    val version: Long,
)

@Serializable
internal data class ListedHostDto(
    val name: String,
    val address: String,
    val dataCentre: String,
    val leaving: Boolean = false,
)

internal fun encodeTransaction(transaction: TableTransaction): String {
    val checks = transaction.checks.map { RowCheckDto(it.key, it.version) }
    val writes = transaction.writes.map { RowWriteDto(it.key, it.value) }
    return lenientJson.encodeToString(TransactionDto.serializer(), TransactionDto(checks, writes))
}

internal fun decodeTransaction(text: String): TableTransaction {
    val dto = lenientJson.decodeFromString(TransactionDto.serializer(), text)
    return TableTransaction(
        dto.checks.map { RowCheck(it.key, it.version) },
        dto.writes.map { RowWrite(it.key, it.value) },
    )
}

internal fun encodeCommitReply(reply: CommitReply): String {
    val dto = when (reply) {
        is CommitReply.Committed -> CommitReplyDto(version = reply.version)
        is CommitReply.Conflict -> CommitReplyDto(conflicts = reply.keys)
    }
    return lenientJson.encodeToString(CommitReplyDto.serializer(), dto)
}

internal fun decodeCommitReply(text: String): CommitReply {
    val dto = lenientJson.decodeFromString(CommitReplyDto.serializer(), text)
    return dto.version?.let { CommitReply.Committed(it) } ?: CommitReply.Conflict(dto.conflicts)
}

internal fun encodeRows(rows: List<Row>): String =
    lenientJson.encodeToString(ListSerializer(RowDto.serializer()), rows.map { RowDto(it.key, it.value, it.version) })

internal fun decodeRows(text: String): List<Row> =
    lenientJson.decodeFromString(ListSerializer(RowDto.serializer()), text).map { Row(it.key, it.value, it.version) }

internal fun encodeHosts(hosts: List<ListedHost>): String {
    val dtos = hosts.map { ListedHostDto(it.name, it.address.toString(), it.dataCentre.value, it.leaving) }
    return lenientJson.encodeToString(ListSerializer(ListedHostDto.serializer()), dtos)
}

internal fun decodeHosts(text: String): List<ListedHost> =
    lenientJson.decodeFromString(ListSerializer(ListedHostDto.serializer()), text).map { it.toHost() }

private fun ListedHostDto.toHost(): ListedHost {
    val parsed: Address = parseAddress(address)
    return ListedHost(name, parsed, DataCentre(dataCentre), leaving)
}
