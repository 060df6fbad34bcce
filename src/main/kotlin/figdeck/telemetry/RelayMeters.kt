package figdeck.telemetry

import figdeck.model.serving.RelayAnswer
import io.micrometer.core.instrument.Tags

/** Counts a batch job that another host was asked to store; [answer] is null if it gave none. */
internal fun Meters.countRelayedJob(answer: RelayAnswer?) {
    count("figdeck.relayed.jobs", Tags.of("answer", answer?.name?.lowercase() ?: "none"))
}
