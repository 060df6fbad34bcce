package figdeck.traffic.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.raise.either
import figdeck.daemon.command.ChatAnswer
import figdeck.daemon.command.ChatSink
import figdeck.daemon.command.Services
import figdeck.daemon.command.serveChat
import figdeck.daemon.query.KeyGuard
import figdeck.daemon.query.teamInForce
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.model.ModelPool
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.Team
import figdeck.model.Work
import figdeck.query.poolFor
import figdeck.telemetry.noteTeam
import figdeck.traffic.REQUEST_ID_HEADER
import figdeck.traffic.STATUS_OK
import figdeck.traffic.bearerKey
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.command.CompletionChunk
import figdeck.wire.command.CompletionHead
import figdeck.wire.command.DONE_EVENT
import figdeck.wire.command.decodeChat
import figdeck.wire.command.encodeAnswer
import figdeck.wire.command.encodeChunk
import figdeck.wire.encodeRefusal
import io.netty.handler.codec.http.HttpHeaderNames

private const val MAX_CHAT_BYTES = 1024 * 1024
private const val EVENT_STREAM = "text/event-stream"

/** A chat turn that may be served: whose it is, what it asks and which engines serve it. */
private data class ChatOrder(
    val team: Team,
    val pool: ModelPool,
    val chat: Work.Chat,
    val key: String?,
)

/** Handles `POST /v1/chat/completions`. */
internal fun chatHandler(services: Services): HttpHandler = { call, responder ->
    services.readOrder(call).fold(
        { responder.refuse(it) },
        { order -> if (order.chat.stream) services.stream(order, responder) else services.answer(order, responder) },
    )
}

private suspend fun Services.readOrder(call: HttpCall): Either<Refusal, ChatOrder> = either {
    noteTeam(teamInForce(call.bearerKey()).bind().id)
    val body = call.body.readAll(MAX_CHAT_BYTES).mapLeft { Refusal.BodyTooLarge(it.limitBytes) }.bind()
    val chat = decodeChat(body.decodeToString()).bind()
    // A slow body leaves time for the key to be withdrawn.
    val team = teamInForce(call.bearerKey()).bind()
    ChatOrder(team, control.snapshot.index.poolFor(team, chat).bind(), chat, call.bearerKey())
}

private suspend fun Services.answer(order: ChatOrder, responder: HttpResponder) {
    val sink = ChatSink(accepted = {}, delta = {})
    val guard = KeyGuard(this, order.key, order.team.id)
    val result = serveChat(order.team, order.pool, order.chat, sink)
    result.flatMap { answer -> guard.check(answer.id).map { answer } }.fold(
        { responder.refuse(it) },
        { answer ->
            val head = head(answer.id, order)
            responder.json(encodeAnswer(head, answer.content, answer.finishReason), requestId = answer.id)
        },
    )
}

private suspend fun Services.stream(order: ChatOrder, responder: HttpResponder) {
    var accepted: CompletionHead? = null
    val guard = KeyGuard(this, order.key, order.team.id)
    val sink = ChatSink(
        accepted = { id ->
            accepted = head(id, order)
            val headers = newHeaders()
                .set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM)
                .set(REQUEST_ID_HEADER, id.value)
            responder.start(STATUS_OK, headers)
        },
        delta = { text -> accepted?.let { responder.guarded(guard, it, CompletionChunk(text, null)) } },
    )
    val result = serveChat(order.team, order.pool, order.chat, sink)
    val head = accepted
    if (head == null) {
        result.onLeft { responder.refuse(it) }
    } else {
        responder.endStream(head, result.flatMap { answer -> guard.check(head.id).map { answer } })
    }
}

private suspend fun HttpResponder.guarded(guard: KeyGuard, head: CompletionHead, chunk: CompletionChunk) {
    guard.check(head.id).onRight { event(encodeChunk(head, chunk)) }
}

private suspend fun HttpResponder.endStream(head: CompletionHead, result: Either<Refusal, ChatAnswer>) {
    result.fold(
        { event(encodeRefusal(it, head.id.value)) },
        { event(encodeChunk(head, CompletionChunk("", it.finishReason))) },
    )
    event(DONE_EVENT)
}

private suspend fun HttpResponder.event(data: String) {
    write("data: $data\n\n".encodeToByteArray())
}

private fun Services.head(id: RequestId, order: ChatOrder) = CompletionHead(id, order.chat.model, clock().epochMillis)
