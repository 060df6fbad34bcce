package figdeck.wire.serving

import arrow.core.Either
import figdeck.command.serving.TakeAnswer
import figdeck.command.serving.TakeAsk
import figdeck.command.serving.TakeResult
import figdeck.model.HostId
import figdeck.model.TeamId
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.microseconds

@Serializable
internal data class TakeDto(
    val from: String,
    val team: String,
    val cutOff: Boolean = false,
)

@Serializable
internal data class TakeResultDto(
    val taken: Boolean = false,
    val waitMicros: Long? = null,
)

internal fun encodeTake(ask: TakeAsk): String =
    lenientJson.encodeToString(TakeDto.serializer(), TakeDto(ask.from.value, ask.team.value, ask.isCutOff))

internal fun decodeTake(text: String): Either<String, TakeAsk> =
    decodeAs(text, TakeDto.serializer()) { TakeAsk(HostId(it.from), TeamId(it.team), it.cutOff) }

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
