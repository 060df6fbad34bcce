package figdeck.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.daemon.query.jobs.ResultPage
import figdeck.model.Refusal
import figdeck.model.serving.JobItem
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.Base64

/** A batch job as a caller hands it in. */
@Serializable
internal data class SubmissionMessage(
    @SerialName("Requests") val items: List<ItemMessage>,
)

@Serializable
internal data class ItemMessage(
    @SerialName("Id") val id: String,
    @SerialName("Path") val path: String,
    @SerialName("Headers") val headers: Map<String, String> = emptyMap(),
    /** Base64 of the body. */
    @SerialName("Body") val body: String = "",
    /** The tokens of the prompt and the most to generate. */
    @SerialName("Tokens") val tokens: Long = 0,
)

/** Results from a position on. */
@Serializable
internal data class ResultsMessage(
    /** The number of all items, with or without a result. */
    @SerialName("Total") val total: Int,
    /** The position after the last of these results. */
    @SerialName("Next") val next: Int,
    @SerialName("Results") val results: List<ResultMessage>,
)

@Serializable
internal data class ResultMessage(
    @SerialName("Id") val item: String,
    /** `completed`, or `dead_letter` for an item that was given up. */
    @SerialName("State") val state: String,
    @SerialName("Output") val output: String,
)

/** Writes a batch job as callers do. */
internal fun encodeSubmission(message: SubmissionMessage): String =
    lenientJson.encodeToString(SubmissionMessage.serializer(), message)

/** Reads the items of a job. */
internal fun decodeSubmission(body: ByteArray): Either<Refusal, List<JobItem>> =
    lenientJson.decode(SubmissionMessage.serializer(), body.decodeToString()).fold(
        { Refusal.BadRequest("body", it).left() },
        { message ->
            try {
                message.items.map { it.toItem() }.right()
            } catch (e: IllegalArgumentException) {
                Refusal.BadRequest("body", "an item's body is not Base64: ${e.message}").left()
            }
        },
    )

internal fun encodeResults(page: ResultPage): String {
    val results = page.results.map { result ->
        ResultMessage(result.item, if (result.isComplete) "completed" else "dead_letter", result.output)
    }
    return lenientJson.encodeToString(ResultsMessage.serializer(), ResultsMessage(page.total, page.next, results))
}

private fun ItemMessage.toItem(): JobItem = JobItem(id, path, headers, Base64.getDecoder().decode(body), tokens)
