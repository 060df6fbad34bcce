package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.HostId
import figdeck.model.Row
import figdeck.model.serving.FleetMember
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

/**
 * The contents of the store's tables as a host last read them.
 *
 * @property plans the rows of the plan table.
 * @property upstreams the rows of the upstream table.
 * @property members the other daemons.
 * @property storeMillis the store's clock when the view was sent, in milliseconds; null if the host has not read it.
 */
public data class StoreView(
    public val plans: List<Row>,
    public val upstreams: List<Row>,
    public val members: List<FleetMember>,
    public val storeMillis: Long?,
)

/** The store view that daemons exchange. */
@Serializable
internal data class ViewDto(
    val plans: List<ViewRowDto>,
    val upstreams: List<ViewRowDto>,
    val members: Map<String, FleetMemberDto>,
    val storeMillis: Long? = null,
)

/** A row of a store view. */
@Serializable
internal data class ViewRowDto(
    val key: String,
    val value: String,
    val version: Long,
)

internal fun encodeView(view: StoreView): String {
    val dto = ViewDto(
        plans = view.plans.map { ViewRowDto(it.key, it.value, it.version) },
        upstreams = view.upstreams.map { ViewRowDto(it.key, it.value, it.version) },
        members = view.members.associate { it.host.value to it.toDto() },
        storeMillis = view.storeMillis,
    )
    return lenientJson.encodeToString(ViewDto.serializer(), dto)
}

internal fun decodeView(text: String): Either<String, StoreView> = decodeAs(text, ViewDto.serializer()) { dto ->
    StoreView(
        plans = dto.plans.map { Row(it.key, it.value, it.version) },
        upstreams = dto.upstreams.map { Row(it.key, it.value, it.version) },
        members = dto.members.map { (host, member) -> member.toMember(HostId(host)) },
        storeMillis = dto.storeMillis,
    )
}
