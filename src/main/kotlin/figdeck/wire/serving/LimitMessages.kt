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
internal data class TakeRequestDto(
    val from: String,
    val team: String,
    val cutOff: Boolean = false,
)

@Serializable
internal data class TakeResponseDto(
    val taken: Boolean = false,
    val waitMicros: Long? = null,
)

internal fun encodeTakeRequest(ask: TakeRequest): String =
    lenientJson.encodeToString(
        TakeRequestDto.serializer(),
        TakeRequestDto(ask.from.value, ask.team.value, ask.isCutOff)
    )

internal fun decodeTakeRequest(text: String): Either<String, TakeRequest> =
    decodeAs(text, TakeRequestDto.serializer()) { TakeRequest(HostId(it.from), TeamId(it.team), it.cutOff) }

internal fun encodeTakeResponse(answer: TakeResponse): String {
    val dto = when (answer) {
        is TakeResponse.Decided -> TakeResponseDto(answer.result.taken, answer.result.wait.inWholeMicroseconds)
        TakeResponse.NotOwner -> TakeResponseDto()
    }
    return lenientJson.encodeToString(TakeResponseDto.serializer(), dto)
}

internal fun decodeTakeResponse(text: String): Either<String, TakeResponse> =
    decodeAs(text, TakeResponseDto.serializer()) { dto ->
        dto.waitMicros?.let { TakeResponse.Decided(TakeResult(dto.taken, it.microseconds)) } ?: TakeResponse.NotOwner
    }
