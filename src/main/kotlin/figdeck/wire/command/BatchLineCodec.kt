package figdeck.wire.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.model.BatchId
import figdeck.model.BatchItem
import figdeck.model.Refusal
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement

/** The maximum length of an uploaded line in bytes. Only the item of a longer line fails, not the whole upload. */
internal const val MAX_LINE_BYTES = 256 * 1024
private const val COMPLETE_MARKER = '+'
private const val TOO_LONG_MARKER = '-'

@Serializable
private data class BatchLineDto(
    @SerialName("custom_id") val customId: String? = null,
    val body: JsonElement? = null,
)

@Serializable
private data class AcceptedDto(
    val id: String,
    val state: String,
)

/** Encodes the response to an accepted upload. */
internal fun encodeAcceptedBatch(id: BatchId): String =
    lenientJson.encodeToString(AcceptedDto.serializer(), AcceptedDto(id.value, "accepted"))

/** A parsed line of an upload: the caller's id of the item, if it could be read, and the item or its refusal. */
internal data class ParsedLine(
    val customId: String?,
    val item: Either<Refusal, BatchItem>,
)

/** Encodes a line for storage until its item runs; null stands for a line over [MAX_LINE_BYTES]. */
internal fun encodeStoredLine(line: String?): String = if (line == null) "$TOO_LONG_MARKER" else "$COMPLETE_MARKER$line"

internal fun decodeStoredLine(stored: String): ParsedLine {
    if (stored.first() == TOO_LONG_MARKER) {
        return ParsedLine(null, Refusal.BodyTooLarge(MAX_LINE_BYTES).left())
    }
    return lenientJson.decode(BatchLineDto.serializer(), stored.drop(1)).fold(
        { ParsedLine(null, Refusal.BadRequest("line", "not a batch item ($it): send JSON").left()) },
        { ParsedLine(it.customId, it.toItem()) },
    )
}

private fun BatchLineDto.toItem(): Either<Refusal, BatchItem> = either {
    ensure(customId != null) { Refusal.BadRequest("custom_id", "missing: name each item of the job") }
    ensure(body != null) { Refusal.BadRequest("body", "missing: send a chat completion request") }
    val chat = try {
        lenientJson.decodeFromJsonElement(ChatDto.serializer(), body)
    } catch (e: SerializationException) {
        val cause = e.message?.lineSequence()?.first()
        raise(Refusal.BadRequest("body", "not a chat completion request ($cause): send JSON"))
    }
    BatchItem(customId, chat.toChat().bind())
}
