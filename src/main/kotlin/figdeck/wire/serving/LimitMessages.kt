package figdeck.wire.serving

import arrow.core.Either
import figdeck.command.serving.TakeRequest
import figdeck.command.serving.TakeResponse
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

internal fun encodeTake(ask: TakeRequest): String =
    lenientJson.encodeToString(TakeDto.serializer(), TakeDto(ask.from.value, ask.team.value, ask.isCutOff))

internal fun decodeTake(text: String): Either<String, TakeRequest> =
    decodeAs(text, TakeDto.serializer()) { TakeRequest(HostId(it.from), TeamId(it.team), it.cutOff) }

internal fun encodeTakeAnswer(answer: TakeResponse): String {
    val dto = when (answer) {
        is TakeResponse.Decided -> TakeResultDto(answer.result.taken, answer.result.wait.inWholeMicroseconds)
        TakeResponse.NotOwner -> TakeResultDto()
    }
    return lenientJson.encodeToString(TakeResultDto.serializer(), dto)
}

internal fun decodeTakeAnswer(text: String): Either<String, TakeResponse> =
    decodeAs(text, TakeResultDto.serializer()) { dto ->
        dto.waitMicros?.let { TakeResponse.Decided(TakeResult(dto.taken, it.microseconds)) } ?: TakeResponse.NotOwner
    }
