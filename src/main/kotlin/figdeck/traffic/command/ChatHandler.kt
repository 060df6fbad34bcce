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
import figdeck.daemon.query.authenticateTeam
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.query.poolFor
import figdeck.telemetry.recordTeam
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

/** An authorized chat turn and the guard that detects the withdrawal of its key. */
private data class KeyGuardedChat(
    val authorized: AuthorizedChat,
    val guard: KeyGuard,
)

/** Handles `POST /v1/chat/completions`. */
internal fun chatHandler(services: Services): HttpHandler = { call, responder ->
    services.authorizeChat(call).fold(
        { responder.refuse(it) },
        { chat ->
            if (chat.authorized.chat.stream) services.stream(chat, responder) else services.answer(chat, responder)
        },
    )
}

private suspend fun Services.authorizeChat(call: HttpCall): Either<Refusal, KeyGuardedChat> = either {
    recordTeam(authenticateTeam(call.bearerKey()).bind().id)
    val body = call.body.readAll(MAX_CHAT_BYTES).mapLeft { Refusal.BodyTooLarge(it.limitBytes) }.bind()
    val text = body.decodeToString()
    val chat = decodeChat(text).bind()
    // The key may have been withdrawn while the body was received.
    val team = authenticateTeam(call.bearerKey()).bind()
    val pool = control.snapshot.index.poolFor(team, chat).bind()
    val guard = KeyGuard(this@authorizeChat, call.bearerKey(), team.id)
    KeyGuardedChat(AuthorizedChat(team, pool, chat, call.readIdempotencyKey(team, text).bind()), guard)
}

private suspend fun Services.answer(chat: KeyGuardedChat, responder: HttpResponder) {
    awaitChat(chat.authorized).flatMap { answer -> chat.guard.check(answer.id).map { answer } }.fold(
        { responder.refuse(it) },
        { answer ->
            val head = head(answer.id, chat.authorized)
            responder.json(encodeAnswer(head, answer.content, answer.finishReason), requestId = answer.id)
        },
    )
}

private suspend fun Services.awaitChat(authorized: AuthorizedChat): Either<Refusal, ChatAnswer> = either {
    val work = startChat(authorized).bind()
    work.deltas.cancel()
    work.awaitAcceptance().bind()
    work.awaitResult().bind()
}

private suspend fun Services.stream(chat: KeyGuardedChat, responder: HttpResponder) {
    startChat(chat.authorized).fold(
        { responder.refuse(it) },
        { work ->
            work.awaitAcceptance().fold(
                { responder.refuse(it) },
                { id -> responder.streamDeltas(work, head(id, chat.authorized), chat.guard) },
            )
        },
    )
}

/** Streams the deltas of [work] to the caller. The work continues if the caller disconnects. */
private suspend fun HttpResponder.streamDeltas(
    work: RunningWork<ChatAnswer>,
    head: CompletionMetadata,
    guard: KeyGuard
) {
    val headers = newHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM)
        .set(REQUEST_ID_HEADER, head.id.value)
    start(STATUS_OK, headers)
    var keyCheck: Either<Refusal, Unit> = Unit.right()
    try {
        for (delta in work.deltas) {
            keyCheck = guard.check(head.id)
            keyCheck.onLeft { break }
            sendEvent(encodeChunk(head, CompletionChunk(delta, null)))
        }
    } finally {
        work.deltas.cancel()
    }
    sendEnd(head, keyCheck.flatMap { work.awaitResult() }.flatMap { answer -> guard.check(head.id).map { answer } })
}

private suspend fun HttpResponder.sendEnd(head: CompletionMetadata, result: Either<Refusal, ChatAnswer>) {
    result.fold(
        { sendEvent(encodeRefusal(it, head.id.value)) },
        { sendEvent(encodeChunk(head, CompletionChunk("", it.finishReason))) },
    )
    sendEvent(DONE_EVENT)
}

private suspend fun HttpResponder.sendEvent(data: String) {
    write("data: $data\n\n".encodeToByteArray())
}

private fun Services.head(id: RequestId, authorized: AuthorizedChat) = CompletionMetadata(
    id,
    authorized.chat.model,
    clock().epochMillis
)
