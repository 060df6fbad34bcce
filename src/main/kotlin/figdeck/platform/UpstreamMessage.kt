package figdeck.platform

import arrow.core.Either
import figdeck.model.DataCentre
import figdeck.model.MAX_SLOTS
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.parseAddress
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import io.netty.util.NetUtil
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration.Companion.milliseconds

internal const val READY_STATE = "ready"
internal const val LEAVING_STATE = "draining"

/** The entry that an upstream writes to the store, under its id, to register itself. */
@Serializable
internal data class UpstreamMessage(
    @SerialName("Service") val pool: String,
    @SerialName("Address") val address: String,
    @SerialName("Zone") val dataCentre: String,
    @SerialName("Slots") val slots: Int,
    @SerialName("State") val state: String,
    /** The version of its software. Unused like `Seq`, but an entry with a wrong type is no upstream's. */
    @SerialName("Version") val version: String? = null,
    @SerialName("ColdRemainingMs") val coldRemainingMillis: Double? = null,
    /** The number of orders that it has accepted. */
    @SerialName("Seq") val sequence: Long? = null,
    /** When it started, in Unix milliseconds. */
    @SerialName("born") val startedAtMillis: Double? = null,
    /** The loaded models; empty for a plain service. */
    @SerialName("Models") val models: List<JsonElement> = emptyList(),
)

/** Encodes an entry as upstreams write it. */
internal fun encodeUpstream(message: UpstreamMessage): String =
    lenientJson.encodeToString(UpstreamMessage.serializer(), message)

/** Decodes the entry of the upstream [id], or returns why it is invalid. */
internal fun decodeUpstream(id: String, text: String): Either<String, PoolMember> =
    decodeAs(text, UpstreamMessage.serializer()) { it.toMember(id) }.mapLeft { "entry '$id': $it" }

private fun UpstreamMessage.toMember(id: String): PoolMember {
    require(state == READY_STATE || state == LEAVING_STATE) { "unknown state '$state'" }
    require(slots in 1..MAX_SLOTS) { "$slots slots are out of range: 1 to $MAX_SLOTS are possible" }
    val listensAt = parseAddress(address)
    // Resolving a name would block the thread that carries the traffic.
    require(NetUtil.createByteArrayFromIpAddressString(listensAt.ip) != null) { "'${listensAt.ip}' is no IP number" }
    val upstream = Upstream(
        id = UpstreamId(id),
        address = listensAt,
        dataCentre = DataCentre(dataCentre),
        kind = if (models.isEmpty()) UpstreamKind.SERVICE else UpstreamKind.ENGINE,
        slots = slots,
        honoursFencing = false,
        startedAtMillis = startedAtMillis?.toLong(),
    )
    return PoolMember(
        upstream = upstream,
        pool = PoolName(pool),
        isLeaving = state == LEAVING_STATE,
        coldRemaining = coldRemainingMillis?.milliseconds,
    )
}
