package figdeck.upstream.command

import arrow.core.Either
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.client.HttpReply
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.wire.command.DONE_EVENT
import figdeck.wire.command.decodeChunk
import figdeck.wire.command.encodeEngineChat
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.flow.transformWhile
import kotlin.time.Duration.Companion.seconds

private const val HTTP_OK = 200
private const val MAX_REASON_BYTES = 4096
private val RESPONSE_HEAD_TIMEOUT = 3.seconds
private val IDLE_TIMEOUT = 5.seconds

/**
 * Runs [generation] as a streaming chat completion, authenticated with figdeck's own [credential]. Engines need not
 * return the id of the request, so only a connection of its own shows which request an answer belongs to.
 */
internal suspend fun generateOverHttp(
    client: HttpClient,
    credential: String,
    generation: Generation,
    onDelta: suspend (String) -> Unit,
): EngineResult {
    val request = OutgoingRequest(
        address = generation.upstream.address,
        line = RequestLine("POST", "/v1/chat/completions"),
        headers = upstreamHeaders(credential, generation.request.value),
        body = encodeEngineChat(generation.chat, generation.generated).encodeToByteArray(),
        freshConnection = true,
        headTimeout = minOf(generation.answerWithin ?: RESPONSE_HEAD_TIMEOUT, RESPONSE_HEAD_TIMEOUT),
        idleTimeout = IDLE_TIMEOUT,
    )
    val result = client.exchange(request) { reply ->
        if (reply.status == HTTP_OK) readCompletion(reply, onDelta) else toRefused(reply)
    }
    return when (result) {
        is Either.Right -> result.value
        is Either.Left -> result.value.toEngineResult()
    }
}

private suspend fun readCompletion(reply: HttpReply, onDelta: suspend (String) -> Unit): EngineResult {
    val decoder = SseDecoder()
    var finishReason: String? = null
    var done = false
    reply.body.chunks
        .transformWhile { chunk ->
            val events = decoder.decode(chunk)
            events.forEach { emit(it) }
            true
        }
        .collect { event ->
            if (event == DONE_EVENT) {
                done = true
            } else {
                val chunk = decodeChunk(event)
                chunk?.content?.takeIf { it.isNotEmpty() }?.let { onDelta(it) }
                finishReason = chunk?.finishReason ?: finishReason
            }
        }
    val reason = finishReason
    return if (done && reason != null) EngineResult.Finished(reason) else EngineResult.Lost("the stream ended early")
}

private suspend fun toRefused(reply: HttpReply): EngineResult {
    val reason = reply.body.readAll(MAX_REASON_BYTES).fold({ "" }, { it.decodeToString() })
    return EngineResult.Refused(reply.status, reason)
}

private fun ExchangeFailure.toEngineResult(): EngineResult = when (this) {
    is ExchangeFailure.NotSent -> EngineResult.NotSent(reason)
    is ExchangeFailure.Lost -> EngineResult.Lost(reason)
}

/**
 * Returns the headers of a request to an upstream, which closes the connection after its answer. They contain figdeck's
 * own credential, never a caller's.
 */
internal fun upstreamHeaders(credential: String, requestId: String): HttpHeaders = newHeaders()
    .set(HttpHeaderNames.AUTHORIZATION, "Bearer $credential")
    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
    .set("X-Request-Id", requestId)
