package figdeck.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import figdeck.model.DataCentre
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.parseAddress
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** What an upstream writes of itself in the store, under its id. */
@Serializable
internal data class RunnerMessage(
    @SerialName("Service") val pool: String,
    @SerialName("Address") val address: String,
    @SerialName("Zone") val dataCentre: String,
    @SerialName("Slots") val slots: Int,
    @SerialName("State") val state: String,
    /** The models it has loaded; plain services have none. */
    @SerialName("Models") val models: List<JsonElement> = emptyList(),
)

/** Reads the entry of the upstream [id], or tells why it names no upstream to use. */
internal fun decodeRunner(id: String, text: String): Either<String, PoolMember> =
    lenientJson.decode(RunnerMessage.serializer(), text).flatMap { it.toMember(id) }

private fun RunnerMessage.toMember(id: String): Either<String, PoolMember> = try {
    require(state == "ready" || state == "draining") { "state '$state' is unknown" }
    require(slots > 0) { "it has $slots slots" }
    val upstream = Upstream(
        id = UpstreamId(id),
        address = parseAddress(address),
        dataCentre = DataCentre(dataCentre),
        kind = if (models.isEmpty()) UpstreamKind.SERVICE else UpstreamKind.ENGINE,
        slots = slots,
        honoursFencing = false,
    )
    PoolMember(upstream, PoolName(pool), isLeaving = state == "draining").right()
} catch (e: IllegalArgumentException) {
    "entry '$id': ${e.message}".left()
}
