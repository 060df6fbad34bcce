package figdeck.telemetry

import figdeck.daemon.command.Dispatcher
import io.opentelemetry.api.trace.SpanKind

/** Wraps [dispatcher] to time the wait for a slot by lane and record it as a span. */
internal fun observed(dispatcher: Dispatcher, telemetry: Telemetry): Dispatcher = dispatcher.copy(
    acquire = { request ->
        val lane = request.lane.name.lowercase()
        telemetry.tracer.inSpan("dispatch wait", SpanKind.INTERNAL, currentTrace()) { span ->
            val start = telemetry.clock()
            val permit = dispatcher.acquire(request)
            val outcome = if (permit.isRight()) "granted" else "refused"
            span.setAttribute("lane", lane)
            val labels = listOf("lane", lane, "outcome", outcome)
            telemetry.meters.recordTime("figdeck.dispatch.wait", telemetry.clock() - start, labels)
            permit
        }
    },
)
