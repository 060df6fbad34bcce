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
import figdeck.http.client.encodePath
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

/** The path prefix of the service routes. */
internal const val SERVICES_PREFIX = "/v1/services/"
private const val MAX_CALL_BYTES = 1024 * 1024

/** Handles calls to `/v1/services/{route}/...`. */
internal fun serviceHandler(services: Services): HttpHandler = { call, responder ->
    services.callService(call).fold(
        { responder.refuse(it) },
        { result ->
            val headers = newHeaders()
                .set(HttpHeaderNames.CONTENT_TYPE, result.answer.contentType)
                .set(REQUEST_ID_HEADER, result.id.value)
            responder.respond(result.answer.status, headers, result.answer.body.encodeToByteArray())
        },
    )
}

private suspend fun Services.callService(call: HttpCall): Either<Refusal, CallAnswer> = either {
    val routePath = call.path.removePrefix(SERVICES_PREFIX)
    val route = routePath.substringBefore('/')
    recordTeam(authorizeRoute(route, call.bearerKey()).bind().team?.id)
    val body = call.body.readAll(MAX_CALL_BYTES).mapLeft { Refusal.BodyTooLarge(it.limitBytes) }.bind()
    // The key may have been withdrawn while the body was received.
    val access = authorizeRoute(route, call.bearerKey()).bind()
    val text = body.decodeToString()
    val service = Work.ServiceCall(
        route = access.route.name,
        method = call.method,
        path = "/" + encodePath(routePath.substringAfter('/', "")),
        contentType = call.headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty(),
        body = text,
        idempotent = access.route.idempotent,
    )
    val order = AuthorizedCall(access, service, call.readIdempotencyKey(access.team, text).bind())
    val work = startCall(order).bind()
    work.deltas.cancel()
    work.awaitAcceptance().bind()
    val result = work.awaitResult().bind()
    access.team?.let { KeyGuard(this@callService, call.bearerKey(), it.id).check(result.id).bind() }
    result
}
