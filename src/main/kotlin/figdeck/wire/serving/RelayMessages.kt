package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.RelayAnswer
import figdeck.model.serving.RelayedSubmission
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

/** A batch job that another host is asked to store. */
@Serializable
internal data class RelayedSubmissionDto(
    val id: String,
    val team: String,
    val route: String,
    val plan: Long? = null,
    val items: List<JobItemDto>,
)

/** The answer: the name of a [RelayAnswer]. */
@Serializable
internal data class RelayAnswerDto(val answer: String)

internal fun encodeRelayedSubmission(submission: RelayedSubmission): String = lenientJson.encodeToString(
    RelayedSubmissionDto.serializer(),
    RelayedSubmissionDto(
        id = submission.id.value,
        team = submission.team.value,
        route = submission.route,
        plan = submission.planVersion,
        items = submission.items.map { it.toDto() },
    ),
)

internal fun decodeRelayedSubmission(text: String): Either<String, RelayedSubmission> =
    decodeAs(text, RelayedSubmissionDto.serializer()) { dto ->
        RelayedSubmission(JobId(dto.id), TeamId(dto.team), dto.route, dto.plan, dto.items.map { it.toItem() })
    }

internal fun encodeRelayAnswer(answer: RelayAnswer): String =
    lenientJson.encodeToString(RelayAnswerDto.serializer(), RelayAnswerDto(answer.name))

/** Decodes an answer. One that this version doesn't know tells nothing about the job. */
internal fun decodeRelayAnswer(text: String): Either<String, RelayAnswer> =
    decodeAs(text, RelayAnswerDto.serializer()) { dto ->
        RelayAnswer.entries.find { it.name == dto.answer } ?: RelayAnswer.UNKNOWN
    }
