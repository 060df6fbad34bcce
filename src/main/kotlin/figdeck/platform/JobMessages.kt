package figdeck.platform

import arrow.core.Either
import arrow.core.flatMap
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

/** A batch job as a caller submits it. */
@Serializable
internal data class SubmissionMessage(
    @SerialName("Requests") val items: List<ItemMessage>,
)

/** An item of a submitted batch job. */
@Serializable
internal data class ItemMessage(
    @SerialName("Id") val id: String,
    @SerialName("Path") val path: String,
    @SerialName("Headers") val headers: Map<String, String> = emptyMap(),
    /** The body, encoded as Base64. */
    @SerialName("Body") val body: String = "",
    /** The number of prompt tokens plus the maximum number of output tokens. */
    @SerialName("Tokens") val tokens: Long = 0,
)

/** A page of results, in the order of their positions. */
@Serializable
internal data class ResultsMessage(
    /** The number of items of the job, with or without a result. */
    @SerialName("Total") val total: Int,
    /** The position after the last result of this page. */
    @SerialName("Next") val next: Int,
    @SerialName("Results") val results: List<ResultMessage>,
)

/** The result of one item. */
@Serializable
internal data class ResultMessage(
    @SerialName("Id") val item: String,
    /** `completed`, or `dead_letter` if the item was given up. */
    @SerialName("State") val state: String,
    @SerialName("Output") val output: String,
)

/** Encodes a submission as callers send it. */
internal fun encodeSubmission(message: SubmissionMessage): String =
    lenientJson.encodeToString(SubmissionMessage.serializer(), message)

/** Decodes the items of a submission. */
internal fun decodeSubmission(body: ByteArray): Either<Refusal, List<JobItem>> =
    lenientJson.decode(SubmissionMessage.serializer(), body.decodeToString()).fold(
        { Refusal.BadRequest("body", it).left() },
        { message -> malformedItem(message)?.left() ?: decodeItems(message).flatMap { checkItems(it) } },
    )

/** Refuses a message with an item whose texts can't be stored as they are. */
private fun malformedItem(message: SubmissionMessage): Refusal? {
    val encoder = Charsets.UTF_8.newEncoder()
    val position = message.items.indexOfFirst { item ->
        val texts = listOf(item.id, item.path) + item.headers.flatMap { (name, value) -> listOf(name, value) }
        texts.any { !encoder.canEncode(it) }
    }
    return if (position < 0) {
        null
    } else {
        Refusal.BadRequest("Requests[$position]", "half of a surrogate pair is no character: send whole characters")
    }
}

/** Refuses items of which one can't be sent. */
private fun checkItems(items: List<JobItem>): Either<Refusal, List<JobItem>> {
    val refusal = items.withIndex().firstNotNullOfOrNull { (position, item) ->
        sendFaultOf(item)?.let { Refusal.BadRequest("Requests[$position]", it) }
    }
    return refusal?.left() ?: items.right()
}

private fun decodeItems(message: SubmissionMessage): Either<Refusal, List<JobItem>> = try {
    message.items.map { it.toItem() }.right()
} catch (e: IllegalArgumentException) {
    Refusal.BadRequest("body", "an item's body is not Base64: ${e.message}").left()
}

internal fun encodeResults(page: ResultPage): String {
    val results = page.results.map { result ->
        ResultMessage(result.item, if (result.isComplete) "completed" else "dead_letter", result.output)
    }
    return lenientJson.encodeToString(ResultsMessage.serializer(), ResultsMessage(page.total, page.next, results))
}

private fun ItemMessage.toItem(): JobItem = JobItem(id, path, headers, Base64.getDecoder().decode(body), tokens)
