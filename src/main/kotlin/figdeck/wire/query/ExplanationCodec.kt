package figdeck.wire.query

import figdeck.query.ExplainedStep
import figdeck.query.Explanation
import figdeck.wire.OpenRequestDto
import figdeck.wire.RequestRecordDto
import figdeck.wire.lenientJson
import figdeck.wire.toDto
import kotlinx.serialization.Serializable

@Serializable
internal data class ExplanationDto(
    val steps: List<ExplainedStepDto>,
    val record: RequestRecordDto,
    val open: OpenRequestDto? = null,
)

@Serializable
internal data class ExplainedStepDto(
    val atMillis: Long,
    val step: String,
    val host: String,
    val upstream: String? = null,
    val detail: String,
)

internal fun encodeExplanation(explanation: Explanation): String {
    val dto = ExplanationDto(
        explanation.steps.map { it.toDto() },
        explanation.record.toDto(),
        explanation.open?.toDto(),
    )
    return lenientJson.encodeToString(ExplanationDto.serializer(), dto)
}

internal fun decodeSteps(text: String): List<ExplainedStepDto> =
    lenientJson.decodeFromString(ExplanationDto.serializer(), text).steps

private fun ExplainedStep.toDto() =
    ExplainedStepDto(atMillis, kind.name.lowercase(), host.value, upstream?.value, detail)
