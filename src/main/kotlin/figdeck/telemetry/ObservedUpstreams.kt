package figdeck.telemetry

import figdeck.model.Upstream
import figdeck.upstream.command.EngineResult
import figdeck.upstream.command.Generation
import figdeck.upstream.command.UpstreamCommands
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind

/** Wraps [upstreams] to record a span for each call, and the times to the first token and between tokens. */
internal fun observed(upstreams: UpstreamCommands, telemetry: Telemetry): UpstreamCommands = UpstreamCommands(
    generate = { generation, onDelta -> telemetry.generate(upstreams, generation, onDelta) },
    call = { upstream, request, call ->
        telemetry.inUpstreamSpan("call", upstream) { upstreams.call(upstream, request, call) }
    },
)

private suspend fun Telemetry.generate(
    upstreams: UpstreamCommands,
    generation: Generation,
    onDelta: suspend (String) -> Unit,
): EngineResult = inUpstreamSpan("generate", generation.upstream) { span ->
    var lastTokenAt = clock()
    var tokenCount = 0L
    val result = upstreams.generate(generation) { delta ->
        val now = clock()
        val timer = if (tokenCount == 0L) "figdeck.upstream.first.token" else "figdeck.upstream.between.tokens"
        meters.recordTime(timer, now - lastTokenAt)
        lastTokenAt = now
        tokenCount++
        onDelta(delta)
    }
    span.setAttribute("tokens", tokenCount)
    result
}

private suspend fun <R> Telemetry.inUpstreamSpan(name: String, upstream: Upstream, block: suspend (Span) -> R): R =
    tracer.inSpan("upstream $name", SpanKind.CLIENT, currentTrace()) { span ->
        span.setAttribute("upstream", upstream.id.value)
        span.setAttribute("dataCentre", upstream.dataCentre.value)
        block(span)
    }
