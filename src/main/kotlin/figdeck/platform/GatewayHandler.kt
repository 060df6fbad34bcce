package figdeck.platform

import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.hasRequiredData
import figdeck.daemon.command.serving.CallerChannel
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.Forward
import figdeck.daemon.command.serving.OnlineCall
import figdeck.daemon.command.serving.OnlineServices
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.isSuccess
import figdeck.daemon.command.serving.serveOnline
import figdeck.http.client.HttpClient
import figdeck.http.client.HttpReply
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.model.MayHaveRun
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.serving.CallKind
import figdeck.query.serving.RouteAccess
import figdeck.query.serving.access
import figdeck.telemetry.REFUSAL_HEADER
import figdeck.wire.encodeRefusal
import figdeck.wire.status
import figdeck.wire.type
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

private const val JSON_TYPE = "application/json"
private const val HTTP_OK = 200
private const val TOO_MANY_REQUESTS = 429
private const val MISDIRECTED_REQUEST = 421
private const val SERVICE_UNAVAILABLE = 503
private const val INTERNAL_ERROR = 500
private const val REQUEST_TIMEOUT = 408

/** The maximum body size while no plan is loaded. */
private const val DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024

/** How long a request waits for a host that has just started to load its data. */
private val STARTUP_TIMEOUT = 600.milliseconds
private val STARTUP_POLL_INTERVAL = 10.milliseconds

/** Statuses by which callers conclude that the request did not run and never will. */
private val NOT_RUN_STATUSES = setOf(REQUEST_TIMEOUT, MISDIRECTED_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE)

/** The dependencies of the listener for callers. */
internal data class GatewayServices(
    val control: Control<ServingState>,
    val online: OnlineServices,
    val jobs: JobApi,
    val client: HttpClient,
)

/** Handles the requests of callers: calls of batch jobs, submissions and online requests. */
internal fun gatewayHandler(services: GatewayServices): HttpHandler = { call, responder ->
    val receivedAt = services.online.clock()
    parseCallerHeaders(call).fold(
        { responder.refuse(it) },
        { headers ->
            val handled = services.jobs.handle(call, headers, responder)
            if (!handled) {
                services.serve(call, headers, receivedAt, responder)
            }
        },
    )
}

/** Handles the load balancer's readiness check. */
internal fun readinessHandler(control: Control<ServingState>): HttpHandler = { _, responder ->
    val state = control.snapshot
    val ready = state.hasRequiredData && !state.isDraining
    responder.respond(if (ready) HTTP_OK else SERVICE_UNAVAILABLE, newHeaders(), ByteArray(0))
}

/** Waits up to [STARTUP_TIMEOUT] for a host that has just started to load the data that routing needs. */
private suspend fun GatewayServices.awaitRequiredData() {
    withTimeoutOrNull(STARTUP_TIMEOUT) {
        while (!control.snapshot.hasRequiredData) {
            delay(STARTUP_POLL_INTERVAL)
        }
    }
}

/** A request whose body has been read. */
private class ReceivedRequest(
    val call: HttpCall,
    val headers: CallerHeaders,
    val body: ByteArray,
    val receivedAt: Moment,
)

private suspend fun GatewayServices.serve(
    call: HttpCall,
    headers: CallerHeaders,
    receivedAt: Moment,
    responder: HttpResponder,
) {
    val body = call.body.readAll(control.snapshot.index?.plan?.maxBodyBytes ?: DEFAULT_MAX_BODY_BYTES)
    awaitRequiredData()
    // The plan may have changed while the body was read.
    val index = control.snapshot.index
    val access = when {
        index == null -> Refusal.StaleConfiguration.left()
        else -> index.access(headers.host, call.path, headers.key)
            .flatMap { access -> body.mapLeft { Refusal.BodyTooLarge(it.limitBytes) }.map { access } }
    }
    access.fold(
        { refusal ->
            online.log.note("refused", headers.id) {
                put("refusal", refusal.type)
                put("path", call.path)
                put("plan", index?.plan?.version ?: 0)
            }
            responder.refuse(refusal)
        },
        { serve(ReceivedRequest(call, headers, body.getOrElse { ByteArray(0) }, receivedAt), it, responder) },
    )
}

private suspend fun GatewayServices.serve(received: ReceivedRequest, access: RouteAccess, responder: HttpResponder) {
    if (access.route.kind == CallKind.BATCH) {
        jobs.submit(access, received.headers, received.body, responder)
    } else {
        serveOnline(received, access, responder)
    }
}

private suspend fun GatewayServices.serveOnline(
    received: ReceivedRequest,
    access: RouteAccess,
    responder: HttpResponder,
) {
    val headers = received.headers
    val onlineCall = OnlineCall(
        id = headers.id,
        access = access,
        receivedAt = received.receivedAt,
        deadline = received.receivedAt + headers.timeLeft,
        cost = headers.tokens,
        affinity = headers.affinity,
        lastEventId = headers.lastEventId,
        sharedParts = headers.sharedParts,
    )
    val caller = CallerChannel(responder.start, responder.write, responder.respond)
    this.online.serveOnline(onlineCall, forward(received, access), caller).onLeft { refusal ->
        this.online.log.note("refused", headers.id) {
            put("refusal", refusal.type)
            put("reason", refusal.message)
            put("route", access.route.name)
            put("team", access.team?.id?.value ?: "none")
            put("after_ms", (this@serveOnline.online.clock() - received.receivedAt).inWholeMilliseconds)
            put("retry_after_ms", refusal.retryAfter?.inWholeMilliseconds ?: -1)
        }
        responder.refuse(refusal)
    }
}

private fun GatewayServices.forward(received: ReceivedRequest, access: RouteAccess): Forward = { options, handleReply ->
    val call = received.call
    val request = ForwardedRequest(call.method, call.target, call.headers, access.team?.id)
    client.exchange(options.toOutgoingRequest(request, received.body)) { reply ->
        handleReply(upstreamReply(reply, call.headers.get(ATTEMPT_ID_HEADER)))
    }
}

/**
 * Converts [reply] to the response to the attempt [id]. A response with another attempt id is not trusted, nor is a
 * successful one that lacks the id or the upstream's stamp, or has a content encoding: it may be a late copy of the
 * answer to an earlier request on the connection.
 */
internal fun upstreamReply(reply: HttpReply, id: String?): UpstreamReply {
    val headers = reply.headers
    val receivedId = headers.get(ATTEMPT_ID_HEADER)
    val hasOtherId = receivedId != null && receivedId != id
    val lacksProof = receivedId != id || RESPONSE_STAMP_HEADER !in headers
    val isUnverified = isSuccess(reply.status) && (lacksProof || HttpHeaderNames.CONTENT_ENCODING in headers)
    val executionStatus = when {
        hasOtherId || isUnverified -> ExecutionStatus.UNVERIFIED
        reply.status == MISDIRECTED_REQUEST -> ExecutionStatus.WRONG_UPSTREAM
        NOT_EXECUTED_HEADER in headers -> ExecutionStatus.NOT_RUN
        else -> ExecutionStatus.RAN
    }
    val isDelimited = HttpHeaderNames.CONTENT_LENGTH in headers || HttpHeaderNames.TRANSFER_ENCODING in headers
    return UpstreamReply(executionStatus, reply.status, forwardableHeaders(headers), reply.body, isDelimited)
}

/** Sends [refusal] with its status; 429 and 503 carry the seconds to wait in Retry-After. */
internal suspend fun HttpResponder.refuse(refusal: Refusal) {
    val headers = newHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, JSON_TYPE)
        .set(REFUSAL_HEADER, refusal.type)
    // If the work may have run, 500 replaces a status by which callers conclude that it did not.
    val status =
        if (refusal.ran == MayHaveRun.UNKNOWN && refusal.status in NOT_RUN_STATUSES) INTERNAL_ERROR else refusal.status
    if (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS) {
        refusal.retryAfter?.let {
            headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(it.toDouble(DurationUnit.SECONDS)))
        }
    }
    respond(status, headers, encodeRefusal(refusal).encodeToByteArray())
}
