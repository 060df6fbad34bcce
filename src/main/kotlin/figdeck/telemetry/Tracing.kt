package figdeck.telemetry

import io.netty.handler.codec.http.HttpHeaders
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.context.propagation.TextMapSetter
import kotlinx.coroutines.withContext

private val propagator = W3CTraceContextPropagator.getInstance()
private val setter = TextMapSetter<HttpHeaders> { headers, key, value -> headers?.set(key, value) }

private object HeaderGetter : TextMapGetter<HttpHeaders> {
    override fun keys(carrier: HttpHeaders): Iterable<String> = carrier.names()

    override fun get(carrier: HttpHeaders?, key: String): String? = carrier?.get(key)
}

/** Returns the trace context from the `traceparent` header in [headers]. */
internal fun extractTrace(headers: HttpHeaders): Context = propagator.extract(Context.root(), headers, HeaderGetter)

/** Writes the trace context of the running coroutine into [headers] as `traceparent`. */
internal suspend fun injectTrace(headers: HttpHeaders) {
    propagator.inject(currentTrace(), headers, setter)
}

/** Runs [block] in a span named [name] under [parent]. An exception sets the error status of the span. */
@Suppress("TooGenericExceptionCaught") // Every exception must mark and end the span.
internal suspend fun <R> Tracer.inSpan(
    name: String,
    kind: SpanKind,
    parent: Context,
    block: suspend (Span) -> R,
): R {
    val span = spanBuilder(name).setParent(parent).setSpanKind(kind).startSpan()
    return try {
        withContext(TraceElement(parent.with(span))) { block(span) }
    } catch (e: Throwable) {
        span.setStatus(StatusCode.ERROR, e.message.orEmpty())
        throw e
    } finally {
        span.end()
    }
}
