package figdeck.wire.command

import arrow.core.Either
import figdeck.command.limit.TokenDraw
import figdeck.command.limit.TokenGrant
import figdeck.model.HostId
import figdeck.model.TeamId
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration.Companion.microseconds

@Serializable
private data class DrawDto(
    val team: String,
    val waiting: Int,
    val extra: Int = 0,
    val unspent: Int = 0,
)

@Serializable
private data class GrantDto(
    val granted: Int = 0,
    @SerialName("wait_us") val waitMicros: Long = 0,
    @SerialName("life_us") val lifeMicros: Long = 0,
    val owned: Boolean = true,
)

@Serializable
private data class PromiseDto(
    val host: String,
    val incarnation: Long,
)

/** A host's request to a guardian for a promise not to end its lease. */
internal data class PromiseRequest(
    val host: HostId,
    val incarnation: Long,
)

internal fun encodeDraws(draws: List<TokenDraw>): String = lenientJson.encodeToString(
    ListSerializer(DrawDto.serializer()),
    draws.map { DrawDto(it.team.value, it.waiting, it.extra, it.unspent) },
)

internal fun decodeDraws(text: String): Either<String, List<TokenDraw>> =
    lenientJson.decode(ListSerializer(DrawDto.serializer()), text)
        .map { draws -> draws.map { TokenDraw(TeamId(it.team), it.waiting, it.extra, it.unspent.coerceAtLeast(0)) } }

/** Encodes the grants in the order of the draws; null means that this host does not own the team's bucket. */
internal fun encodeGrants(grants: List<TokenGrant?>): String = lenientJson.encodeToString(
    ListSerializer(GrantDto.serializer()),
    grants.map { it?.toDto() ?: GrantDto(owned = false) },
)

internal fun decodeGrants(text: String): Either<String, List<TokenGrant?>> =
    lenientJson.decode(ListSerializer(GrantDto.serializer()), text).map { grants -> grants.map { it.toGrant() } }

internal fun encodePromiseRequest(request: PromiseRequest): String =
    lenientJson.encodeToString(PromiseDto.serializer(), PromiseDto(request.host.value, request.incarnation))

internal fun decodePromiseRequest(text: String): Either<String, PromiseRequest> =
    lenientJson.decode(PromiseDto.serializer(), text).map { PromiseRequest(HostId(it.host), it.incarnation) }

private fun TokenGrant.toDto() = GrantDto(granted, wait.inWholeMicroseconds, lifetime.inWholeMicroseconds)

private fun GrantDto.toGrant(): TokenGrant? = if (owned) {
    TokenGrant(
        granted,
        waitMicros.microseconds,
        lifeMicros.microseconds
    )
} else {
    null
}
