package figdeck.wire.command

import figdeck.model.ItemOutcome
import figdeck.model.ItemResult
import figdeck.wire.ErrorDto
import figdeck.wire.lenientJson
import figdeck.wire.type
import figdeck.wire.wireName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val HTTP_OK = 200
private const val MILLIS_PER_SECOND = 1000

@Serializable
internal data class ItemResultDto(
    val id: String,
    @SerialName("custom_id") val customId: String? = null,
    val response: ItemResponseDto? = null,
    val error: ErrorDto? = null,
)

@Serializable
internal data class ItemResponseDto(
    @SerialName("status_code") val status: Int,
    val body: CompletionDto,
)

/** Encodes a result as one line without the line feed. Lines are stored and returned to callers in this form. */
internal fun encodeItemResult(result: ItemResult): String {
    val dto = when (val outcome = result.outcome) {
        is ItemOutcome.Answered ->
            ItemResultDto(result.request.value, result.customId, response = result.toResponseDto(outcome))
        is ItemOutcome.Failed -> {
            val refusal = outcome.refusal
            val error = ErrorDto(refusal.type, refusal.message, refusal.ran.wireName)
            ItemResultDto(result.request.value, result.customId, error = error)
        }
    }
    return lenientJson.encodeToString(ItemResultDto.serializer(), dto)
}

private fun ItemResult.toResponseDto(outcome: ItemOutcome.Answered): ItemResponseDto {
    val answer = outcome.answer
    val choice = ChoiceDto(message = MessageDto("assistant", answer.content), finishReason = answer.finishReason)
    val created = endedAtMillis / MILLIS_PER_SECOND
    val completion = CompletionDto(request.value, "chat.completion", created, answer.model.value, listOf(choice))
    return ItemResponseDto(HTTP_OK, completion)
}
