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

/** A request to take a token from the bucket of a team, sent to the host that owns the bucket. */
@Serializable
internal data class TakeRequestDto(
    val from: String,
    val team: String,
    val cutOff: Boolean = false,
)

/** The response; a null [waitMicros] means that the host does not own the bucket. */
@Serializable
internal data class TakeResponseDto(
    val taken: Boolean = false,
    val waitMicros: Long? = null,
)

internal fun encodeTakeRequest(request: TakeRequest): String =
    lenientJson.encodeToString(
        TakeRequestDto.serializer(),
        TakeRequestDto(request.from.value, request.team.value, request.isCutOff)
    )

internal fun decodeTakeRequest(text: String): Either<String, TakeRequest> =
    decodeAs(text, TakeRequestDto.serializer()) { TakeRequest(HostId(it.from), TeamId(it.team), it.cutOff) }

internal fun encodeTakeResponse(response: TakeResponse): String {
    val dto = when (response) {
        is TakeResponse.Decided -> TakeResponseDto(response.result.taken, response.result.wait.inWholeMicroseconds)
        TakeResponse.NotOwner -> TakeResponseDto()
    }
    return lenientJson.encodeToString(TakeResponseDto.serializer(), dto)
}

internal fun decodeTakeResponse(text: String): Either<String, TakeResponse> =
    decodeAs(text, TakeResponseDto.serializer()) { dto ->
        dto.waitMicros?.let { TakeResponse.Decided(TakeResult(dto.taken, it.microseconds)) } ?: TakeResponse.NotOwner
    }
