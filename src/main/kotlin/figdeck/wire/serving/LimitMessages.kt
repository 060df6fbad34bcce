package figdeck.wire.serving

import arrow.core.Either
import figdeck.command.serving.TakeResult
import figdeck.model.TeamId
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.microseconds

@Serializable
internal data class TakeDto(val team: String)

@Serializable
internal data class TakeResultDto(
    val taken: Boolean,
    val waitMicros: Long,
)

internal fun encodeTake(team: TeamId): String = lenientJson.encodeToString(TakeDto.serializer(), TakeDto(team.value))

internal fun decodeTake(text: String): Either<String, TeamId> = decodeAs(text, TakeDto.serializer()) { TeamId(it.team) }

internal fun encodeTakeResult(result: TakeResult): String {
    val dto = TakeResultDto(result.taken, result.wait.inWholeMicroseconds)
    return lenientJson.encodeToString(TakeResultDto.serializer(), dto)
}

internal fun decodeTakeResult(text: String): Either<String, TakeResult> =
    decodeAs(text, TakeResultDto.serializer()) { TakeResult(it.taken, it.waitMicros.microseconds) }
