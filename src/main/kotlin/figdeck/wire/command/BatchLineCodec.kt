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

/** The longest line of an upload, in bytes; a longer one is an item that fails alone. */
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

/** The answer to an accepted upload. */
internal fun encodeAcceptedBatch(id: BatchId): String =
    lenientJson.encodeToString(AcceptedDto.serializer(), AcceptedDto(id.value, "accepted"))

/** What a line of an upload says: the caller's name for the item, if it can be read, and the item or its fault. */
internal data class ParsedLine(
    val customId: String?,
    val item: Either<Refusal, BatchItem>,
)

/** A line as it is stored until its item runs; null stands for one that was too long. */
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
