package figdeck.standin

import arrow.core.getOrElse
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.model.Clock
import figdeck.model.ModelName
import figdeck.model.RequestId
import figdeck.wire.command.ChatDto
import figdeck.wire.command.CompletionChunk
import figdeck.wire.command.CompletionHead
import figdeck.wire.command.DONE_EVENT
import figdeck.wire.command.encodeChunk
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val OK = 200
private const val BAD_REQUEST = 400
private const val MAX_BODY_BYTES = 1024 * 1024
private val WORDS = listOf("walk", "gently", "up", "the", "ridge", "past", "mossy", "gates", "and", "rest")

/** How fast an engine's stand-in works: a token takes [perToken] plus [perSequence] for each running sequence. */
internal data class EnginePace(
    val prefill: Duration = 5.milliseconds,
    val perToken: Duration = 2.milliseconds,
    val perSequence: Duration = Duration.ZERO,
)

/** A stand-in for a model engine that batches continuously and knows no priorities. Its text follows the prompt. */
internal class EngineStandIn(
    private val pace: EnginePace,
    private val clock: Clock,
) {
    private val running = AtomicInteger()
    private val started = AtomicInteger()

    val handler: HttpHandler = { call, responder ->
        when (call.path) {
            "/v1/chat/completions" -> generate(call, responder)
            "/load" -> responder.full(OK, newHeaders(), report().encodeToByteArray())
            else -> responder.full(BAD_REQUEST, newHeaders(), ByteArray(0))
        }
    }

    private fun report(): String = """{"running":${running.get()},"started":${started.get()}}"""

    private suspend fun generate(call: HttpCall, responder: HttpResponder) {
        val text = call.body.readAll(MAX_BODY_BYTES).getOrElse { ByteArray(0) }.decodeToString()
        val chat = lenientJson.decode(ChatDto.serializer(), text).getOrNull()
        if (chat?.model == null) {
            responder.full(BAD_REQUEST, newHeaders(), ByteArray(0))
            return
        }
        started.incrementAndGet()
        running.incrementAndGet()
        try {
            stream(chat, responder)
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun stream(chat: ChatDto, responder: HttpResponder) {
        val head = CompletionHead(RequestId("standin"), ModelName(chat.model.orEmpty()), clock().epochMillis)
        val resumed = chat.resumeFrom.orEmpty()
        val seed = chat.messages.orEmpty().joinToString { it.content }.hashCode()
        responder.start(OK, newHeaders().set("content-type", "text/event-stream"))
        delay(pace.prefill)
        for (i in resumed.count { it == ' ' } until (chat.maxTokens ?: 1)) {
            delay(pace.perToken + pace.perSequence * running.get())
            responder.event(encodeChunk(head, CompletionChunk(word(seed, i) + " ", null)))
        }
        responder.event(encodeChunk(head, CompletionChunk("", "stop")))
        responder.event(DONE_EVENT)
    }

    private suspend fun HttpResponder.event(data: String) {
        write("data: $data\n\n".encodeToByteArray())
    }
}

private fun word(seed: Int, index: Int): String = WORDS[Math.floorMod(seed + index, WORDS.size)]
