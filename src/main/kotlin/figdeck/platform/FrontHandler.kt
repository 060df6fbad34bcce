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
private const val OK = 200
private const val TOO_MANY = 429
private const val MISDIRECTED = 421
private const val UNAVAILABLE = 503
private const val INTERNAL_ERROR = 500
private const val REQUEST_TIMEOUT = 408

/** The longest body that is read before a plan tells how long it may be. */
private const val MAX_BODY_BYTES = 4 * 1024 * 1024

/** How long a request waits for a host that has just started. */
private val START_PATIENCE = 600.milliseconds
private val START_CHECK = 10.milliseconds
private val PROMISES = setOf(REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY, UNAVAILABLE)

/** What the listener for clients needs. */
internal data class FrontServices(
    val control: Control<ServingState>,
    val online: OnlineServices,
    val jobs: JobApi,
    val client: HttpClient,
)

/** Answers the platform's clients. */
internal fun frontHandler(services: FrontServices): HttpHandler = { call, responder ->
    val receivedAt = services.online.clock()
    callerHead(call).fold(
        { responder.refuse(it) },
        { head ->
            val answered = services.jobs.answer(call, head, responder)
            if (!answered) {
                services.serve(call, head, receivedAt, responder)
            }
        },
    )
}

/** Answers the balancer's question whether this host takes connections. */
internal fun readinessHandler(control: Control<ServingState>): HttpHandler = { _, responder ->
    val state = control.snapshot
    val ready = state.hasRequiredData && !state.isDraining
    responder.respond(if (ready) OK else UNAVAILABLE, newHeaders(), ByteArray(0))
}

/** Waits a little while this host has started and does not yet know where requests go. */
private suspend fun FrontServices.awaitStart() {
    withTimeoutOrNull(START_PATIENCE) {
        while (!control.snapshot.hasRequiredData) {
            delay(START_CHECK)
        }
    }
}

/** A request as it came in. */
private class Received(
    val call: HttpCall,
    val head: CallerHead,
    val body: ByteArray,
    val at: Moment,
)

private suspend fun FrontServices.serve(
    call: HttpCall,
    head: CallerHead,
    receivedAt: Moment,
    responder: HttpResponder,
) {
    val body = call.body.readAll(control.snapshot.index?.plan?.maxBodyBytes ?: MAX_BODY_BYTES)
    awaitStart()
    // The plan may have changed while the body came in.
    val index = control.snapshot.index
    val access = when {
        index == null -> Refusal.StaleConfiguration.left()
        else -> index.access(head.host, call.path, head.key)
            .flatMap { access -> body.mapLeft { Refusal.BodyTooLarge(it.limitBytes) }.map { access } }
    }
    access.fold(
        { refusal ->
            online.log.note("refused", head.id) {
                put("refusal", refusal.type)
                put("path", call.path)
                put("plan", index?.plan?.version ?: 0)
            }
            responder.refuse(refusal)
        },
        { serve(Received(call, head, body.getOrElse { ByteArray(0) }, receivedAt), it, responder) },
    )
}

private suspend fun FrontServices.serve(received: Received, access: RouteAccess, responder: HttpResponder) {
    if (access.route.kind == CallKind.BATCH) {
        jobs.submit(access, received.head, received.body, responder)
    } else {
        serveOnline(received, access, responder)
    }
}

private suspend fun FrontServices.serveOnline(received: Received, access: RouteAccess, responder: HttpResponder) {
    val head = received.head
    val online = OnlineCall(
        id = head.id,
        access = access,
        receivedAt = received.at,
        deadline = received.at + head.timeLeft,
        cost = head.tokens,
        affinity = head.affinity,
        lastEventId = head.lastEventId,
    )
    val caller = CallerChannel(responder.start, responder.write, responder.respond)
    this.online.serveOnline(online, forward(received, access), caller).onLeft { refusal ->
        this.online.log.note("refused", head.id) {
            put("refusal", refusal.type)
            put("route", access.route.name)
            put("team", access.team?.id?.value ?: "none")
            put("after_ms", (this@serveOnline.online.clock() - received.at).inWholeMilliseconds)
            put("retry_after_ms", refusal.retryAfter?.inWholeMilliseconds ?: -1)
        }
        responder.refuse(refusal)
    }
}

private fun FrontServices.forward(received: Received, access: RouteAccess): Forward = { order, use ->
    val call = received.call
    val head = UpstreamHead(call.method, call.target, call.headers, access.team?.id)
    client.exchange(order.toRequest(head, received.body)) { reply ->
        use(upstreamReply(reply, call.headers.get(ATTEMPT_ID)))
    }
}

/** What [reply] says, as the answer to the attempt [id]. */
internal fun upstreamReply(reply: HttpReply, id: String?): UpstreamReply {
    val headers = reply.headers
    val hasOtherId = headers.get(ATTEMPT_ID)?.let { it != id } ?: false
    val isUnproved = isSuccess(reply.status) && (STAMP !in headers || HttpHeaderNames.CONTENT_ENCODING in headers)
    val executionStatus = when {
        hasOtherId || isUnproved -> ExecutionStatus.UNVERIFIED
        reply.status == MISDIRECTED -> ExecutionStatus.WRONG_UPSTREAM
        NOT_EXECUTED in headers -> ExecutionStatus.NOT_RUN
        else -> ExecutionStatus.RAN
    }
    return UpstreamReply(executionStatus, reply.status, passedOn(headers), reply.body)
}

/** Sends [refusal] with its status and, where waiting helps, the seconds after which to come back. */
internal suspend fun HttpResponder.refuse(refusal: Refusal) {
    val headers = newHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, JSON_TYPE)
        .set(REFUSAL_HEADER, refusal.type)
    // These statuses promise that the work has not run and never will.
    val status = if (refusal.ran == MayHaveRun.UNKNOWN && refusal.status in PROMISES) INTERNAL_ERROR else refusal.status
    if (status == UNAVAILABLE || status == TOO_MANY) {
        refusal.retryAfter?.let {
            headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(it.toDouble(DurationUnit.SECONDS)))
        }
    }
    respond(status, headers, encodeRefusal(refusal).encodeToByteArray())
}
