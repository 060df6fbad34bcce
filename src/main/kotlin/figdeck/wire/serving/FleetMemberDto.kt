package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.TeamId
import figdeck.model.parseAddress
import figdeck.model.serving.FleetMember
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

/** The table that holds the entry of each daemon under the name of its host. */
internal const val MEMBER_TABLE = "member"

/** The key of the row that holds the entry of [host]. */
internal fun memberKey(host: String): String = "$MEMBER_TABLE/$host"

/** A daemon's entry in the store and in messages between daemons; both times are milliseconds of the store's clock. */
@Serializable
internal data class FleetMemberDto(
    val address: String,
    val dataCentre: String,
    val incarnation: String,
    val joinedAt: Long,
    val renewedAt: Long,
    val cores: Double = 1.0,
    val levels: Map<String, Int> = emptyMap(),
    val limits: List<UpstreamLimitDto> = emptyList(),
)

internal fun encodeFleetMember(member: FleetMember): String =
    lenientJson.encodeToString(FleetMemberDto.serializer(), member.toDto())

internal fun decodeFleetMember(host: String, text: String): Either<String, FleetMember> =
    decodeAs(text, FleetMemberDto.serializer()) { it.toMember(HostId(host)) }

internal fun FleetMember.toDto(): FleetMemberDto = FleetMemberDto(
    address = address.toString(),
    dataCentre = dataCentre.value,
    incarnation = incarnation,
    joinedAt = joinedAtMillis,
    renewedAt = renewedAtMillis,
    cores = cores,
    levels = levels.mapKeys { it.key.value },
    limits = limits.toLimitDtos(),
)

internal fun FleetMemberDto.toMember(host: HostId): FleetMember = FleetMember(
    host = host,
    address = parseAddress(address),
    dataCentre = DataCentre(dataCentre),
    incarnation = incarnation,
    joinedAtMillis = joinedAt,
    renewedAtMillis = renewedAt,
    cores = cores,
    levels = levels.mapKeys { TeamId(it.key) },
    limits = limits.toLimits(),
)
