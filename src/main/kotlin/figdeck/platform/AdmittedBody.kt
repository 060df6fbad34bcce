package figdeck.platform

import arrow.core.Either
import arrow.core.left
import figdeck.command.serving.BodyDemand
import figdeck.command.serving.SMALL_BODY_BYTES
import figdeck.command.serving.firstBodyBytes
import figdeck.daemon.command.serving.BodyMemory
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpResponder
import figdeck.model.Refusal
import io.netty.handler.codec.http.HttpHeaderNames

/** Handles a body that was read, or its refusal, and answers through the responder. */
internal typealias BodyHandler = suspend (Either<Refusal, ByteArray>, HttpResponder) -> Unit

/**
 * Reads the body of [call] if there is memory for it and runs [handle]. The memory is reserved until the whole answer
 * is known. A body that is refused for its declared size, or for lack of memory, is not read.
 */
internal suspend fun BodyMemory.withBody(
    call: HttpCall,
    responder: HttpResponder,
    terms: BodyTerms,
    handle: BodyHandler,
) {
    val declared = declaredBytes(call)
    val first = BodyDemand(firstBodyBytes(declared, terms.maxBytes.toLong()), terms.useWhileRead)
    if (declared != null && declared > terms.maxBytes) {
        handle(Refusal.BodyTooLarge(terms.maxBytes).left(), responder)
        return
    }
    val reservation = reserve(first)
    if (reservation == null) {
        handle(refusalOf(first, terms.timeLeft).left(), responder)
        return
    }
    reservation.use {
        val body = readReserved(call, terms, it)
        body.onRight { read -> it.change(BodyDemand(read.size.toLong(), terms.useAfterRead)) }
        handle(body, it.freedByAnswer(responder))
    }
}

/** Reads the body of [call]. One in chunks outgrows its reservation only if there is room for the largest body. */
private suspend fun BodyMemory.readReserved(
    call: HttpCall,
    terms: BodyTerms,
    reservation: BodyMemory.Reservation,
): Either<Refusal, ByteArray> {
    val largest = BodyDemand(terms.maxBytes.toLong(), terms.useWhileRead)
    var isReservedWhole = declaredBytes(call) != null
    var hasRoom = true
    val body = call.body.readAll(terms.maxBytes) { size ->
        if (!isReservedWhole && size > SMALL_BODY_BYTES) {
            hasRoom = reservation.change(largest)
            isReservedWhole = hasRoom
        }
        hasRoom
    }
    return body.mapLeft { if (hasRoom) Refusal.BodyTooLarge(it.limitBytes) else refusalOf(largest, terms.timeLeft) }
}

/** A responder that frees the memory before a whole answer is sent: its caller may send the next body at once. */
private fun BodyMemory.Reservation.freedByAnswer(responder: HttpResponder): HttpResponder = responder.copy(
    respond = { status, headers, body ->
        close()
        responder.respond(status, headers, body)
    },
)

/** The size of the body as the head of [call] declares it; null if the body comes in chunks. */
private fun declaredBytes(call: HttpCall): Long? = when {
    call.headers.contains(HttpHeaderNames.TRANSFER_ENCODING) -> null
    else -> call.headers.get(HttpHeaderNames.CONTENT_LENGTH)?.toLongOrNull() ?: 0
}
