package figdeck.telemetry

import figdeck.model.Clock
import io.opentelemetry.api.trace.Tracer

/** The metrics and the tracer of a daemon, and the clock for its time measurements. */
internal data class Telemetry(
    val meters: Meters,
    val tracer: Tracer,
    val clock: Clock,
)
