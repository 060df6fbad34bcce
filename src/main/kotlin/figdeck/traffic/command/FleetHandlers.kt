package figdeck.traffic.command

import arrow.core.Either
import arrow.core.flatMap
import figdeck.command.limit.TokenGrant
import figdeck.command.ownership.promise
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.grantTokens
import figdeck.control.ownershipStep
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.command.decodeDraws
import figdeck.wire.command.decodePromiseRequest
import figdeck.wire.command.encodeGrants
import kotlinx.coroutines.channels.SendChannel

private const val MAX_BODY_BYTES = 1024 * 1024

/** Grants tokens of the teams whose buckets are here. */
internal fun drawHandler(control: Control<ControlState>): HttpHandler = { call, responder ->
    call.read(::decodeDraws).fold(
        { responder.refuse(it) },
        { draws ->
            val grants = draws.map { draw ->
                control.run<TokenGrant?> { state, now -> grantTokens(state, draw, now) }
            }
            responder.json(encodeGrants(grants))
        },
    )
}

/** Promises a peer not to end its lease. */
internal fun promiseHandler(control: Control<ControlState>): HttpHandler = { call, responder ->
    call.read(::decodePromiseRequest).fold(
        { responder.refuse(it) },
        { question ->
            val promised = control.run { state, now ->
                ownershipStep(state) { promise(it, question.host, question.incarnation, now) }
            }
            if (promised) responder.json("{}") else responder.refuse(Refusal.NotFound("host '${question.host}'"))
        },
    )
}

/** Lets the loop that follows the shards run at once. */
internal fun wakeHandler(shardsReleased: SendChannel<Unit>): HttpHandler = { _, responder ->
    shardsReleased.trySend(Unit)
    responder.json("{}")
}

/** Reads the body, or tells what is wrong with it. */
internal suspend fun <T> HttpCall.read(decode: (String) -> Either<String, T>): Either<Refusal, T> =
    body.readAll(MAX_BODY_BYTES)
        .mapLeft { Refusal.BodyTooLarge(it.limitBytes) }
        .flatMap { bytes -> decode(bytes.decodeToString()).mapLeft { Refusal.BadRequest("body", it) } }
