package figdeck.traffic.command

import arrow.core.Either
import arrow.core.raise.either
import figdeck.daemon.command.AuthorizedCall
import figdeck.daemon.command.CallAnswer
import figdeck.daemon.command.Services
import figdeck.daemon.command.awaitAcceptance
import figdeck.daemon.command.awaitResult
import figdeck.daemon.command.startCall
import figdeck.daemon.query.KeyGuard
import figdeck.daemon.query.authorizeRoute
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.model.Work
import figdeck.telemetry.recordTeam
import figdeck.traffic.REQUEST_ID_HEADER
import figdeck.traffic.bearerKey
import figdeck.traffic.refuse
import io.netty.handler.codec.http.HttpHeaderNames

/** The path below which the routes stand. */
internal const val SERVICES_PREFIX = "/v1/services/"
private const val MAX_CALL_BYTES = 1024 * 1024

/** Handles calls below `/v1/services/{route}/`. */
internal fun serviceHandler(services: Services): HttpHandler = { call, responder ->
    services.serve(call).fold(
        { responder.refuse(it) },
        { answered ->
            val headers = newHeaders()
                .set(HttpHeaderNames.CONTENT_TYPE, answered.answer.contentType)
                .set(REQUEST_ID_HEADER, answered.id.value)
            responder.full(answered.answer.status, headers, answered.answer.body.encodeToByteArray())
        },
    )
}

private suspend fun Services.serve(call: HttpCall): Either<Refusal, CallAnswer> = either {
    val below = call.path.removePrefix(SERVICES_PREFIX)
    val route = below.substringBefore('/')
    recordTeam(authorizeRoute(route, call.bearerKey()).bind().team?.id)
    val body = call.body.readAll(MAX_CALL_BYTES).mapLeft { Refusal.BodyTooLarge(it.limitBytes) }.bind()
    // A slow body leaves time for the key to be withdrawn.
    val access = authorizeRoute(route, call.bearerKey()).bind()
    val text = body.decodeToString()
    val service = Work.ServiceCall(
        route = access.route.name,
        method = call.method,
        path = "/" + below.substringAfter('/', ""),
        contentType = call.headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty(),
        body = text,
        idempotent = access.route.idempotent,
    )
    val order = AuthorizedCall(access, service, call.resendKey(access.team, text).bind())
    val work = startCall(order).bind()
    work.deltas.cancel()
    work.awaitAcceptance().bind()
    val answered = work.awaitResult().bind()
    access.team?.let { KeyGuard(this@serve, call.bearerKey(), it.id).check(answered.id).bind() }
    answered
}
