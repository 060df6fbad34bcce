package figdeck.platform

import arrow.core.flatMap
import arrow.core.left
import figdeck.command.serving.SMALL_BODY_BYTES
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.hasRequiredData
import figdeck.daemon.command.serving.BodiesInFlight
import figdeck.daemon.command.serving.BodyMemory
import figdeck.daemon.command.serving.CallerChannel
import figdeck.daemon.command.serving.Forward
import figdeck.daemon.command.serving.OnlineCall
import figdeck.daemon.command.serving.OnlineServices
import figdeck.daemon.command.serving.serveOnline
import figdeck.daemon.command.serving.timeLeft
import figdeck.http.client.HttpClient
import figdeck.http.client.RequestLine
import figdeck.http.client.requestLine
import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.serving.CallKind
import figdeck.model.serving.isStream
import figdeck.query.serving.RouteAccess
import figdeck.query.serving.access
import figdeck.query.serving.hasTimeFor
import figdeck.wire.type
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HTTP_OK = 200
private const val SERVICE_UNAVAILABLE = 503

/** The maximum body size while no plan is loaded. */
private const val DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024

/** How long a request waits for a host that has just started to load its data. */
private val STARTUP_TIMEOUT = 600.milliseconds
private val STARTUP_POLL_INTERVAL = 10.milliseconds

/** The longest time that a call about a batch job takes while the store is slow. */
private val JOB_CALL_LIMIT = 4.seconds

/** The dependencies of the listener for callers. */
internal data class GatewayServices(
    val control: Control<ServingState>,
    val online: OnlineServices,
    val jobs: JobApi,
    val client: HttpClient,
    val bodies: BodyMemory,
    val bodiesInFlight: BodiesInFlight,
)

/** Handles the requests of callers: calls of batch jobs, submissions and online requests. */
internal fun gatewayHandler(services: GatewayServices): HttpHandler = { call, responder ->
    val receivedAt = services.online.clock()
    parseCallerHeaders(call).fold(
        { responder.refuse(it) },
        { headers ->
            val jobHandler = services.jobs.handlerOf(call)
            if (jobHandler == null) {
                services.serve(call, headers, receivedAt, responder)
            } else {
                services.unlessStopping(call, headers, responder) { jobHandler(headers, responder) }
            }
        },
    )
}

/** Handles the load balancer's readiness check. */
internal fun readinessHandler(control: Control<ServingState>): HttpHandler = { _, responder ->
    val state = control.snapshot
    val ready = state.hasRequiredData && state.stop == null
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
    val state = control.snapshot
    val index = state.index
    val access = index?.access(headers.host, call.path, headers.key)
    val denial = access?.leftOrNull()?.takeIf { state.hasRequiredData }
    val maxBytes = index?.plan?.maxBodyBytes ?: DEFAULT_MAX_BODY_BYTES
    val terms = BodyTerms(
        // The small body of a caller without access is read: its connection can be used again.
        maxBytes = if (denial == null) maxBytes else minOf(maxBytes, SMALL_BODY_BYTES.toInt()),
        // Before a plan is known, any request may be a submission.
        isSubmission = access == null || access.isRight { it.route.kind == CallKind.BATCH },
        timeLeft = headers.timeLeft,
    )
    bodies.withBody(call, responder, terms) { body, bodyResponder ->
        awaitRequiredData()
        // The plan may have changed while the body was read.
        val current = control.snapshot.index
        val currentAccess = when {
            current == null -> Refusal.StaleConfiguration.left()
            denial != null && body.isLeft() -> denial.left()
            current === index && access != null -> access
            else -> current.access(headers.host, call.path, headers.key)
        }
        currentAccess.flatMap { allowed -> body.map { allowed to it } }.fold(
            { refuse(it, call, headers, bodyResponder) },
            { (allowed, bytes) -> serve(ReceivedRequest(call, headers, bytes, receivedAt), allowed, bodyResponder) },
        )
    }
}

private suspend fun GatewayServices.serve(received: ReceivedRequest, access: RouteAccess, responder: HttpResponder) {
    if (access.route.kind == CallKind.BATCH) {
        unlessStopping(received.call, received.headers, responder) {
            jobs.submit(access, received.headers, received.body, responder)
        }
    } else {
        requestLine(received.call.method, received.call.target).fold(
            { refuse(Refusal.BadRequest("request line", it), received.call, received.headers, responder) },
            { serveOnline(received, access, it, responder) },
        )
    }
}

private suspend fun GatewayServices.serveOnline(
    received: ReceivedRequest,
    access: RouteAccess,
    line: RequestLine,
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
        fingerprint = fingerprintOf(received.call, received.body),
        features = if (access.route.kind.isStream) workFeaturesOf(access.route.name, received.call.headers) else null,
        expectedWeights = headers.expectedWeights,
    )
    val caller = CallerChannel(responder.start, responder.write, responder.respond)
    val refusalOfStop = refusalOfStop(onlineCall.timeLeft(this.online.clock()))?.left()
    val result = refusalOfStop ?: this.online.serveOnline(onlineCall, forward(received, line, access), caller)
    result.onLeft { refusal ->
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

/** The refusal of a request that may take [limit] if this host stops before that; null otherwise. */
private fun GatewayServices.refusalOfStop(limit: Duration): Refusal? =
    control.snapshot.stop?.takeUnless { it.hasTimeFor(limit, online.clock()) }?.let { Refusal.Draining }

/** Handles a call about a batch job with [handle], unless this host stops before the call is sure to be answered. */
private suspend fun GatewayServices.unlessStopping(
    call: HttpCall,
    headers: CallerHeaders,
    responder: HttpResponder,
    handle: suspend () -> Unit,
) {
    val refusal = refusalOfStop(JOB_CALL_LIMIT)
    if (refusal == null) handle() else refuse(refusal, call, headers, responder)
}

private suspend fun GatewayServices.refuse(
    refusal: Refusal,
    call: HttpCall,
    headers: CallerHeaders,
    responder: HttpResponder,
) {
    online.log.note("refused", headers.id) {
        put("refusal", refusal.type)
        put("path", call.path)
        put("plan", control.snapshot.index?.plan?.version ?: 0)
    }
    responder.refuse(refusal)
}

private fun GatewayServices.forward(
    received: ReceivedRequest,
    line: RequestLine,
    access: RouteAccess,
): Forward = { options, handleReply ->
    val call = received.call
    val request = ForwardedRequest(line, call.headers, access.team?.id)
    val expected =
        ExpectedReply(call.headers.get(ATTEMPT_ID_HEADER), options.upstream.id, received.headers.expectedWeights)
    bodiesInFlight.withRoom(options, received.body) {
        client.exchange(options.toOutgoingRequest(request, received.body)) { reply ->
            handleReply(upstreamReply(reply, expected))
        }
    }
}
