package figdeck.cli

import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.daemon.command.serving.WorkEstimator
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.telemetry.Meters

/**
 * The estimator of the work of requests, with its metrics, if [placement] depends on it; otherwise null, so that the
 * cost of requests is used.
 */
internal fun workEstimator(
    placement: Placement,
    control: Control<ServingState>,
    clock: Clock,
    meters: Meters,
): WorkEstimator? = when (placement) {
    Placement.FREE_SLOTS -> null
    Placement.EXPECTED_COMPLETION -> {
        meters.gauge("figdeck.work.teams") { control.snapshot.work.teams.keys.map { it.team }.distinct().size }
        WorkEstimator(control, clock, meters::recordEstimateError, DecisionLog("work"))
    }
}
