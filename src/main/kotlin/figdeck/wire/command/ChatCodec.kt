package figdeck.wire.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.model.Message
import figdeck.model.ModelName
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.Work
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val DEFAULT_MAX_TOKENS = 256
private const val MILLIS_PER_SECOND = 1000

/** The event that ends a stream of completion chunks. */
internal const val DONE_EVENT = "[DONE]"

@Serializable
internal data class ChatDto(
    val model: String? = null,
    val messages: List<MessageDto>? = null,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val stream: Boolean = false,
    @SerialName("resume_from") val resumeFrom: String? = null,
)

@Serializable
internal data class MessageDto(
    val role: String,
    val content: String,
)

@Serializable
internal data class CompletionDto(
    val id: String,
    @SerialName("object") val type: String,
    val created: Long,
    val model: String,
    val choices: List<ChoiceDto>,
)

@Serializable
internal data class ChoiceDto(
    val index: Int = 0,
    val message: MessageDto? = null,
    val delta: DeltaDto? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class DeltaDto(val content: String? = null)

/** The fields that a completion shares with all of its chunks. */
internal data class CompletionMetadata(
    val id: RequestId,
    val model: ModelName,
    val createdMillis: Long,
)

/** A chunk of a streamed completion. */
internal data class CompletionChunk(
    val content: String,
    val finishReason: String?,
)

internal fun decodeChat(text: String): Either<Refusal, Work.Chat> = either {
    val dto = lenientJson.decode(ChatDto.serializer(), text)
        .mapLeft { Refusal.BadRequest("body", "not a chat completion request ($it): send JSON") }
        .bind()
    dto.toChat().bind()
}

internal fun ChatDto.toChat(): Either<Refusal, Work.Chat> = either {
    val dto = this@toChat
    val model = runCatching { ModelName(dto.model.orEmpty()) }.getOrNull()
    ensure(model != null) { Refusal.BadRequest("model", "missing or not a name: name a model of the team") }
    val messages = dto.messages.orEmpty()
    ensure(messages.isNotEmpty()) { Refusal.BadRequest("messages", "the list is empty: send at least one message") }
    val maxTokens = dto.maxTokens ?: DEFAULT_MAX_TOKENS
    ensure(maxTokens > 0) { Refusal.BadRequest("max_tokens", "$maxTokens is not positive: ask for at least 1") }
    Work.Chat(model, messages.map { Message(it.role, it.content) }, maxTokens, dto.stream)
}

/** Encodes the request to an engine. The engine continues after [generated] if it is not empty. */
internal fun encodeEngineChat(chat: Work.Chat, generated: String): String {
    val dto = ChatDto(
        model = chat.model.value,
        messages = chat.messages.map { MessageDto(it.role, it.content) },
        maxTokens = chat.maxTokens,
        stream = true,
        resumeFrom = generated.ifEmpty { null },
    )
    return lenientJson.encodeToString(ChatDto.serializer(), dto)
}

internal fun decodeChunk(text: String): CompletionChunk? =
    lenientJson.decode(CompletionDto.serializer(), text).getOrNull()?.choices?.firstOrNull()?.let {
        CompletionChunk(it.delta?.content.orEmpty(), it.finishReason)
    }

internal fun encodeChunk(metadata: CompletionMetadata, chunk: CompletionChunk): String {
    val delta = DeltaDto(chunk.content.ifEmpty { null })
    return encodeCompletion(
        metadata,
        "chat.completion.chunk",
        ChoiceDto(delta = delta, finishReason = chunk.finishReason)
    )
}

internal fun encodeAnswer(metadata: CompletionMetadata, content: String, finishReason: String): String {
    val message = MessageDto("assistant", content)
    return encodeCompletion(metadata, "chat.completion", ChoiceDto(message = message, finishReason = finishReason))
}

private fun encodeCompletion(metadata: CompletionMetadata, type: String, choice: ChoiceDto): String {
    val created = metadata.createdMillis / MILLIS_PER_SECOND
    val dto = CompletionDto(metadata.id.value, type, created, metadata.model.value, listOf(choice))
    return lenientJson.encodeToString(CompletionDto.serializer(), dto)
}
