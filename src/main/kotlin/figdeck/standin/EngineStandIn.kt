package figdeck.standin

import arrow.core.getOrElse
import figdeck.command.Step
import figdeck.control.Control
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.http.server.parameter
import figdeck.model.Clock
import figdeck.model.ModelName
import figdeck.model.RequestId
import figdeck.wire.command.ChatDto
import figdeck.wire.command.CompletionChunk
import figdeck.wire.command.CompletionMetadata
import figdeck.wire.command.DONE_EVENT
import figdeck.wire.command.encodeChunk
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val HTTP_OK = 200
private const val BAD_REQUEST = 400
private const val CONFLICT = 409
private const val FENCE_HEADER = "X-Fence"
private const val MAX_BODY_BYTES = 1024 * 1024
private val WORDS = listOf("walk", "gently", "up", "the", "ridge", "past", "mossy", "gates", "and", "rest")

/**
 * The timing of an [EngineStandIn].
 *
 * @property prefill the time to process a prompt whose prefix is not cached.
 * @property perToken the base time to generate a token.
 * @property perSequence the time that each running sequence adds to a token.
 */
internal data class EngineTiming(
    val prefill: Duration = 5.milliseconds,
    val perToken: Duration = 2.milliseconds,
    val perSequence: Duration = Duration.ZERO,
)

/**
 * A stand-in for a model engine with continuous batching and without priorities. The prompt determines the generated
 * text, so that a test can compare the answers to equal prompts.
 */
internal class EngineStandIn(
    private val timing: EngineTiming,
    private val clock: Clock,
    private val honoursFencing: Boolean = false,
) : AutoCloseable {
    private val control = Control(initialEngineState, clock)

    val handler: HttpHandler = { call, responder ->
        when (call.path) {
            "/v1/chat/completions" -> handleChat(call, responder)
            "/load" -> responder.sendCounts(control.run { state, now -> reportLoad(state, now) })
            "/counts" -> responder.sendCounts(control.snapshot.counts)
            "/faults" -> setFaults(call, responder)
            "/orders" -> handleOrder(call, responder)
            else -> responder.respond(BAD_REQUEST, newHeaders(), ByteArray(0))
        }
    }

    override fun close() {
        control.close()
    }

    private suspend fun setFaults(call: HttpCall, responder: HttpResponder) {
        val faults = EngineFaults(
            silent = call.parameter("silent").toBoolean(),
            slowMillis = call.parameter("slowMillis")?.toLong() ?: 0,
            resetAfter = call.parameter("resetAfter")?.toInt(),
        )
        control.run { state, _ -> Step(state.copy(faults = faults), Unit) }
        responder.respond(HTTP_OK, newHeaders(), ByteArray(0))
    }

    private suspend fun handleOrder(call: HttpCall, responder: HttpResponder) {
        val fencingNumber = call.headers.get(FENCE_HEADER)?.toLongOrNull() ?: 0
        val accepted = control.run { state, _ -> acceptOrder(state, fencingNumber, honoursFencing) }
        responder.respond(if (accepted) HTTP_OK else CONFLICT, newHeaders(), ByteArray(0))
    }

    private suspend fun handleChat(call: HttpCall, responder: HttpResponder) {
        val text = call.body.readAll(MAX_BODY_BYTES).getOrElse { ByteArray(0) }.decodeToString()
        val chat = lenientJson.decode(ChatDto.serializer(), text).getOrNull()
        if (chat?.model == null) {
            responder.respond(BAD_REQUEST, newHeaders(), ByteArray(0))
            return
        }
        val prefix = chat.messages.orEmpty().firstOrNull().hashCode()
        val cached = control.run { state, _ -> startGeneration(state, prefix) }
        var completed = false
        try {
            streamCompletion(chat, if (cached) Duration.ZERO else timing.prefill, responder)
            completed = true
        } finally {
            withContext(NonCancellable) { control.run { state, _ -> endGeneration(state, cancelled = !completed) } }
        }
    }

    private suspend fun streamCompletion(chat: ChatDto, prefill: Duration, responder: HttpResponder) {
        val metadata = CompletionMetadata(RequestId("standin"), ModelName(chat.model.orEmpty()), clock().epochMillis)
        val firstToken = chat.resumeFrom.orEmpty().count { it == ' ' }
        val seed = chat.messages.orEmpty().joinToString { it.content }.hashCode()
        val faults = control.snapshot.faults
        if (faults.silent) {
            awaitCancellation()
        }
        responder.start(HTTP_OK, newHeaders().set("content-type", "text/event-stream"))
        delay(prefill + faults.slowMillis.milliseconds)
        for (i in firstToken until (chat.maxTokens ?: 1)) {
            if (i - firstToken == control.snapshot.faults.resetAfter) {
                throw IOException("the answer is broken off on purpose")
            }
            delay(timing.perToken + timing.perSequence * control.snapshot.counts.running)
            responder.sendEvent(encodeChunk(metadata, CompletionChunk(word(seed, i) + " ", null)))
        }
        responder.sendEvent(encodeChunk(metadata, CompletionChunk("", "stop")))
        responder.sendEvent(DONE_EVENT)
    }
}

private suspend fun HttpResponder.sendCounts(counts: EngineCounts) {
    val report = with(counts) {
        """{"running":$running,"started":$started,"cancelled":$cancelled,"prefixHits":$prefixHits}"""
    }
    respond(HTTP_OK, newHeaders(), report.encodeToByteArray())
}

private suspend fun HttpResponder.sendEvent(data: String) {
    write("data: $data\n\n".encodeToByteArray())
}

private fun word(seed: Int, index: Int): String = WORDS[Math.floorMod(seed + index, WORDS.size)]
