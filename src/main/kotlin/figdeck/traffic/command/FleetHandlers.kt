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

/** Grants tokens for the teams whose token buckets this daemon owns. */
internal fun tokenDrawHandler(control: Control<ControlState>): HttpHandler = { call, responder ->
    call.readBody(::decodeDraws).fold(
        { responder.refuse(it) },
        { draws ->
            val grants = draws.map { draw ->
                control.run<TokenGrant?> { state, now -> grantTokens(state, draw, now) }
            }
            responder.json(encodeGrants(grants))
        },
    )
}

/** Handles a peer's request for a promise not to end that peer's lease. */
internal fun leasePromiseHandler(control: Control<ControlState>): HttpHandler = { call, responder ->
    call.readBody(::decodePromiseRequest).fold(
        { responder.refuse(it) },
        { question ->
            val promised = control.run { state, now ->
                ownershipStep(state) { promise(it, question.host, question.incarnation, now) }
            }
            if (promised) responder.json("{}") else responder.refuse(Refusal.NotFound("host '${question.host}'"))
        },
    )
}

/** Wakes the loop that refreshes the shards, so that released shards are claimed without delay. */
internal fun shardWakeHandler(shardsReleased: SendChannel<Unit>): HttpHandler = { _, responder ->
    shardsReleased.trySend(Unit)
    responder.json("{}")
}

/** Decodes the body with [decode], or returns the refusal of a body that is too large or malformed. */
internal suspend fun <T> HttpCall.readBody(decode: (String) -> Either<String, T>): Either<Refusal, T> =
    body.readAll(MAX_BODY_BYTES)
        .mapLeft { Refusal.BodyTooLarge(it.limitBytes) }
        .flatMap { bytes -> decode(bytes.decodeToString()).mapLeft { Refusal.BadRequest("body", it) } }
