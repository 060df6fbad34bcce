package figdeck.telemetry

import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import io.netty.handler.codec.http.HttpHeaders
import io.opentelemetry.api.trace.SpanKind
import kotlinx.coroutines.withContext

/** The response header that holds the type of a refusal. */
internal const val REFUSAL_HEADER = "X-Refusal"
private const val STATUS_ATTRIBUTE = "http.response.status_code"

/** Wraps [handler] to record a span named for [name] under the caller's `traceparent`, and to count refusals. */
internal fun observed(name: String, handler: HttpHandler, telemetry: Telemetry): HttpHandler = { call, responder ->
    telemetry.tracer.inSpan("$name ${call.method}", SpanKind.SERVER, extractTrace(call.headers)) { span ->
        val start = telemetry.clock()
        val callContext = CallContext()
        val status = telemetry.handle(handler, call, responder, callContext)
        span.setAttribute(STATUS_ATTRIBUTE, status.toLong())
        val duration = telemetry.clock() - start
        telemetry.meters.recordTime("figdeck.calls", duration, listOf("listener", name, "status", status.toString()))
    }
}

private suspend fun Telemetry.handle(
    handler: HttpHandler,
    call: HttpCall,
    responder: HttpResponder,
    callContext: CallContext,
): Int {
    var responseStatus = 0
    val recordHead: (Int, HttpHeaders) -> Unit = { status, headers ->
        responseStatus = status
        headers.get(REFUSAL_HEADER)?.let { meters.countRefusal(it, callContext.team?.value) }
    }
    val observedResponder = HttpResponder(
        start = { status, headers ->
            recordHead(status, headers)
            responder.start(status, headers)
        },
        write = responder.write,
        respond = { status, headers, body ->
            recordHead(status, headers)
            responder.respond(status, headers, body)
        },
    )
    withContext(callContext) { handler(call, observedResponder) }
    return responseStatus
}
