package figdeck.platform

import arrow.core.Either
import figdeck.model.DataCentre
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.parseAddress
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

internal const val READY_STATE = "ready"
internal const val LEAVING_STATE = "draining"

/** What an upstream writes of itself in the store, under its id. */
@Serializable
internal data class UpstreamMessage(
    @SerialName("Service") val pool: String,
    @SerialName("Address") val address: String,
    @SerialName("Zone") val dataCentre: String,
    @SerialName("Slots") val slots: Int,
    @SerialName("State") val state: String,
    /** The models it has loaded; plain services have none. */
    @SerialName("Models") val models: List<JsonElement> = emptyList(),
)

/** Writes an entry as upstreams do. */
internal fun encodeUpstream(message: UpstreamMessage): String =
    lenientJson.encodeToString(UpstreamMessage.serializer(), message)

/** Reads the entry of the upstream [id], or tells why it names no upstream to use. */
internal fun decodeUpstream(id: String, text: String): Either<String, PoolMember> =
    decodeAs(text, UpstreamMessage.serializer()) { it.toMember(id) }.mapLeft { "entry '$id': $it" }

private fun UpstreamMessage.toMember(id: String): PoolMember {
    require(state == READY_STATE || state == LEAVING_STATE) { "state '$state' is unknown" }
    require(slots > 0) { "it has $slots slots" }
    val upstream = Upstream(
        id = UpstreamId(id),
        address = parseAddress(address),
        dataCentre = DataCentre(dataCentre),
        kind = if (models.isEmpty()) UpstreamKind.SERVICE else UpstreamKind.ENGINE,
        slots = slots,
        honoursFencing = false,
    )
    return PoolMember(upstream, PoolName(pool), isLeaving = state == LEAVING_STATE)
}
