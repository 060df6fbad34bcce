package figdeck.platform

import arrow.core.Either
import arrow.core.left
import figdeck.command.serving.BodyDemand
import figdeck.command.serving.firstBodyBytes
import figdeck.command.serving.grownBodyBytes
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
        val body = readReserved(call, terms, first, it)
        body.onRight { read -> it.change(BodyDemand(read.size.toLong(), terms.useAfterRead)) }
        handle(body, it.freedByAnswer(responder))
    }
}

/** Reads the body of [call], for [first] of which memory is reserved. The reservation grows with one in chunks. */
private suspend fun BodyMemory.readReserved(
    call: HttpCall,
    terms: BodyTerms,
    first: BodyDemand,
    reservation: BodyMemory.Reservation,
): Either<Refusal, ByteArray> {
    var reserved = first
    var unmet: BodyDemand? = null
    val body = call.body.readAll(terms.maxBytes) { size ->
        if (size > reserved.bytes) {
            val demand = first.copy(bytes = grownBodyBytes(size.toLong(), terms.maxBytes.toLong()))
            if (reservation.change(demand)) reserved = demand else unmet = demand
        }
        unmet == null
    }
    return body.mapLeft { over ->
        unmet?.let { refusalOf(it, terms.timeLeft) } ?: Refusal.BodyTooLarge(over.limitBytes)
    }
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
