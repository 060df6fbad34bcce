package figdeck.traffic.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.raise.either
import arrow.core.right
import figdeck.daemon.command.AuthorizedChat
import figdeck.daemon.command.ChatAnswer
import figdeck.daemon.command.RunningWork
import figdeck.daemon.command.Services
import figdeck.daemon.command.awaitAcceptance
import figdeck.daemon.command.awaitResult
import figdeck.daemon.command.startChat
import figdeck.daemon.query.KeyGuard
import figdeck.daemon.query.teamInForce
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.query.poolFor
import figdeck.telemetry.noteTeam
import figdeck.traffic.REQUEST_ID_HEADER
import figdeck.traffic.STATUS_OK
import figdeck.traffic.bearerKey
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.command.CompletionChunk
import figdeck.wire.command.CompletionMetadata
import figdeck.wire.command.DONE_EVENT
import figdeck.wire.command.decodeChat
import figdeck.wire.command.encodeAnswer
import figdeck.wire.command.encodeChunk
import figdeck.wire.encodeRefusal
import io.netty.handler.codec.http.HttpHeaderNames

private const val MAX_CHAT_BYTES = 1024 * 1024
private const val EVENT_STREAM = "text/event-stream"

/** A chat turn and the watch over the key that came with it. */
private data class GuardedChat(
    val order: AuthorizedChat,
    val guard: KeyGuard,
)

/** Handles `POST /v1/chat/completions`. */
internal fun chatHandler(services: Services): HttpHandler = { call, responder ->
    services.readOrder(call).fold(
        { responder.refuse(it) },
        { chat -> if (chat.order.chat.stream) services.stream(chat, responder) else services.answer(chat, responder) },
    )
}

private suspend fun Services.readOrder(call: HttpCall): Either<Refusal, GuardedChat> = either {
    noteTeam(teamInForce(call.bearerKey()).bind().id)
    val body = call.body.readAll(MAX_CHAT_BYTES).mapLeft { Refusal.BodyTooLarge(it.limitBytes) }.bind()
    val text = body.decodeToString()
    val chat = decodeChat(text).bind()
    // A slow body leaves time for the key to be withdrawn.
    val team = teamInForce(call.bearerKey()).bind()
    val pool = control.snapshot.index.poolFor(team, chat).bind()
    val guard = KeyGuard(this@readOrder, call.bearerKey(), team.id)
    GuardedChat(AuthorizedChat(team, pool, chat, call.resendKey(team, text).bind()), guard)
}

private suspend fun Services.answer(chat: GuardedChat, responder: HttpResponder) {
    finishedChat(chat.order).flatMap { answer -> chat.guard.check(answer.id).map { answer } }.fold(
        { responder.refuse(it) },
        { answer ->
            val head = head(answer.id, chat.order)
            responder.json(encodeAnswer(head, answer.content, answer.finishReason), requestId = answer.id)
        },
    )
}

private suspend fun Services.finishedChat(order: AuthorizedChat): Either<Refusal, ChatAnswer> = either {
    val work = startChat(order).bind()
    work.deltas.cancel()
    work.awaitAcceptance().bind()
    work.awaitResult().bind()
}

private suspend fun Services.stream(chat: GuardedChat, responder: HttpResponder) {
    startChat(chat.order).fold(
        { responder.refuse(it) },
        { work ->
            work.awaitAcceptance().fold(
                { responder.refuse(it) },
                { id -> responder.follow(work, head(id, chat.order), chat.guard) },
            )
        },
    )
}

/** Passes the progress of [work] on; the work itself goes on when the caller hangs up. */
private suspend fun HttpResponder.follow(work: RunningWork<ChatAnswer>, head: CompletionMetadata, guard: KeyGuard) {
    val headers = newHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM)
        .set(REQUEST_ID_HEADER, head.id.value)
    start(STATUS_OK, headers)
    var shown: Either<Refusal, Unit> = Unit.right()
    try {
        for (delta in work.deltas) {
            shown = guard.check(head.id)
            shown.onLeft { break }
            event(encodeChunk(head, CompletionChunk(delta, null)))
        }
    } finally {
        work.deltas.cancel()
    }
    endStream(head, shown.flatMap { work.awaitResult() }.flatMap { answer -> guard.check(head.id).map { answer } })
}

private suspend fun HttpResponder.endStream(head: CompletionMetadata, result: Either<Refusal, ChatAnswer>) {
    result.fold(
        { event(encodeRefusal(it, head.id.value)) },
        { event(encodeChunk(head, CompletionChunk("", it.finishReason))) },
    )
    event(DONE_EVENT)
}

private suspend fun HttpResponder.event(data: String) {
    write("data: $data\n\n".encodeToByteArray())
}

private fun Services.head(id: RequestId, order: AuthorizedChat) = CompletionMetadata(
    id,
    order.chat.model,
    clock().epochMillis
)
