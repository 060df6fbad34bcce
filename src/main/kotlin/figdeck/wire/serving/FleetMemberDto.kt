package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.parseAddress
import figdeck.model.serving.FleetMember
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

@Serializable
internal data class FleetMemberDto(
    val address: String,
    val dataCentre: String,
    val incarnation: String,
    val joinedAt: Long,
    val renewedAt: Long,
)

internal fun encodeFleetMember(member: FleetMember): String {
    val dto = FleetMemberDto(
        address = member.address.toString(),
        dataCentre = member.dataCentre.value,
        incarnation = member.incarnation,
        joinedAt = member.joinedAt,
        renewedAt = member.renewedAt,
    )
    return lenientJson.encodeToString(FleetMemberDto.serializer(), dto)
}

internal fun decodeFleetMember(host: String, text: String): Either<String, FleetMember> =
    decodeAs(text, FleetMemberDto.serializer()) { dto ->
        FleetMember(
            host = HostId(host),
            address = parseAddress(dto.address),
            dataCentre = DataCentre(dto.dataCentre),
            incarnation = dto.incarnation,
            joinedAt = dto.joinedAt,
            renewedAt = dto.renewedAt,
        )
    }
