package figdeck.telemetry

import figdeck.model.Clock
import io.opentelemetry.api.trace.Tracer

/** What observes a daemon: its meters, its tracer, and the clock that times are taken from. */
internal data class Telemetry(
    val meters: Meters,
    val tracer: Tracer,
    val clock: Clock,
)
