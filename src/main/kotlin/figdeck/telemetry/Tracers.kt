package figdeck.telemetry

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.TracerProvider
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor

private const val SCOPE = "figdeck"

/** Creates a tracer that exports to [endpoint] by OTLP over HTTP, or a no-op tracer if [endpoint] is null. */
internal fun createTracer(host: String, endpoint: String?): Tracer {
    if (endpoint == null) {
        return TracerProvider.noop().get(SCOPE)
    }
    val exporter = OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()
    val resourceAttributes = mapOf("service.name" to SCOPE, "host.name" to host)
    val attributes = Attributes.builder()
    resourceAttributes.forEach { (key, value) -> attributes.put(AttributeKey.stringKey(key), value) }
    return SdkTracerProvider.builder()
        .setResource(Resource.create(attributes.build()))
        .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
        .build()
        .get(SCOPE)
}
