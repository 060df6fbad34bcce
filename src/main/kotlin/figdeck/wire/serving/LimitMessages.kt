package figdeck.wire.serving

import arrow.core.Either
import figdeck.command.serving.TakeAnswer
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
    val taken: Boolean = false,
    val waitMicros: Long? = null,
)

internal fun encodeTake(team: TeamId): String = lenientJson.encodeToString(TakeDto.serializer(), TakeDto(team.value))

internal fun decodeTake(text: String): Either<String, TeamId> = decodeAs(text, TakeDto.serializer()) { TeamId(it.team) }

internal fun encodeTakeAnswer(answer: TakeAnswer): String {
    val dto = when (answer) {
        is TakeAnswer.Decided -> TakeResultDto(answer.result.taken, answer.result.wait.inWholeMicroseconds)
        TakeAnswer.NotOwner -> TakeResultDto()
    }
    return lenientJson.encodeToString(TakeResultDto.serializer(), dto)
}

internal fun decodeTakeAnswer(text: String): Either<String, TakeAnswer> =
    decodeAs(text, TakeResultDto.serializer()) { dto ->
        dto.waitMicros?.let { TakeAnswer.Decided(TakeResult(dto.taken, it.microseconds)) } ?: TakeAnswer.NotOwner
    }
