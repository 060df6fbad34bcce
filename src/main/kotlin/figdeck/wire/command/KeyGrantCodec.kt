package figdeck.wire.command

import arrow.core.Either
import arrow.core.raise.either
import figdeck.model.Fault
import figdeck.model.FaultCollector
import figdeck.model.KeyHash
import figdeck.model.KeyId
import figdeck.model.TeamId
import figdeck.model.TeamKey
import figdeck.model.TemplateEdit
import figdeck.wire.decode
import figdeck.wire.strictJson
import kotlinx.serialization.Serializable

@Serializable
private data class KeyGrantDto(
    val team: String,
    val id: String,
    val sha256: String,
)

internal fun encodeKeyGrant(team: String, key: TeamKey): String =
    strictJson.encodeToString(KeyGrantDto.serializer(), KeyGrantDto(team, key.id.value, key.hash.hex))

internal fun decodeKeyGrant(text: String): Either<List<Fault>, TemplateEdit.GrantKey> = either {
    val dto = strictJson.decode(KeyGrantDto.serializer(), text).mapLeft { listOf(Fault("", it)) }.bind()
    val faults = FaultCollector("")
    val team = faults.attempt("team") { TeamId(dto.team) }
    val id = faults.attempt("id") { KeyId(dto.id) }
    val hash = faults.attempt("sha256") { KeyHash(dto.sha256) }
    faults.result {
        if (team == null || id == null || hash == null) null else TemplateEdit.GrantKey(team, TeamKey(id, hash))
    }.bind()
}
