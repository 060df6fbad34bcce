package figdeck.wire.command

import arrow.core.Either
import figdeck.command.ownership.HostLease
import figdeck.command.ownership.HostRow
import figdeck.command.ownership.ShardOwner
import figdeck.command.ownership.ShardRow
import figdeck.model.DataCentre
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.Row
import figdeck.model.Shard
import figdeck.model.parseAddress
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
private data class HostLeaseDto(
    val address: String,
    @SerialName("data_centre") val dataCentre: String,
    val incarnation: Long,
    val renewal: Long,
    val guardians: List<String>,
    val leaving: Boolean,
)

@Serializable
private data class ShardDto(
    val host: String? = null,
    val incarnation: Long? = null,
    val epoch: Long,
)

/** Encodes the value of a host's row. */
internal fun encodeHostLease(lease: HostLease): String {
    val dto = HostLeaseDto(
        address = lease.address.toString(),
        dataCentre = lease.dataCentre.value,
        incarnation = lease.incarnation,
        renewal = lease.renewal,
        guardians = lease.guardians.map { it.value },
        leaving = lease.leaving,
    )
    return lenientJson.encodeToString(HostLeaseDto.serializer(), dto)
}

/** Decodes a host's row. Returns null if its key or value is invalid. */
internal fun decodeHostRow(row: Row): HostRow? = Either.catch {
    val dto = lenientJson.decodeFromString(HostLeaseDto.serializer(), row.value)
    val lease = HostLease(
        host = HostId(row.key.substringAfter('/')),
        address = parseAddress(dto.address),
        dataCentre = DataCentre(dto.dataCentre),
        incarnation = dto.incarnation,
        renewal = dto.renewal,
        guardians = dto.guardians.map { HostId(it) },
        leaving = dto.leaving,
    )
    HostRow(lease, row.version)
}.getOrNull()

/** Encodes the value of a shard's row. */
internal fun encodeShardRow(row: ShardRow): String {
    val dto = ShardDto(row.owner?.host?.value, row.owner?.incarnation, row.epoch.value)
    return lenientJson.encodeToString(ShardDto.serializer(), dto)
}

/** Decodes a shard's row. Returns null if its key or value is invalid. */
internal fun decodeShardRow(row: Row): ShardRow? = Either.catch {
    val dto = lenientJson.decodeFromString(ShardDto.serializer(), row.value)
    val host = dto.host
    val incarnation = dto.incarnation
    val owner = if (host == null || incarnation == null) null else ShardOwner(HostId(host), incarnation)
    ShardRow(Shard(row.key.substringAfter('/').toInt()), owner, Epoch(dto.epoch), row.version)
}.getOrNull()
