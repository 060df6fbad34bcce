package figdeck.telemetry

import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import io.netty.handler.codec.http.HttpHeaders
import io.opentelemetry.api.trace.SpanKind
import kotlinx.coroutines.withContext

/** The response header that names the kind of a refusal. */
internal const val REFUSAL_HEADER = "X-Refusal"
private const val STATUS_ATTRIBUTE = "http.response.status_code"

/** [handler] with a span for each call, named [name], under the caller's `traceparent`; its refusals are counted. */
internal fun observed(name: String, handler: HttpHandler, telemetry: Telemetry): HttpHandler = { call, responder ->
    telemetry.tracer.inSpan("$name ${call.method}", SpanKind.SERVER, traceOf(call.headers)) { span ->
        val start = telemetry.clock()
        val notes = CallNotes()
        val status = telemetry.handle(handler, call, responder, notes)
        span.setAttribute(STATUS_ATTRIBUTE, status.toLong())
        val took = telemetry.clock() - start
        telemetry.meters.timed("figdeck.calls", took, listOf("listener", name, "status", status.toString()))
    }
}

private suspend fun Telemetry.handle(
    handler: HttpHandler,
    call: HttpCall,
    responder: HttpResponder,
    notes: CallNotes,
): Int {
    var answered = 0
    val note: (Int, HttpHeaders) -> Unit = { status, headers ->
        answered = status
        headers.get(REFUSAL_HEADER)?.let { meters.refused(it, notes.team?.value) }
    }
    val noting = HttpResponder(
        start = { status, headers ->
            note(status, headers)
            responder.start(status, headers)
        },
        write = responder.write,
        respond = { status, headers, body ->
            note(status, headers)
            responder.respond(status, headers, body)
        },
    )
    withContext(notes) { handler(call, noting) }
    return answered
}
