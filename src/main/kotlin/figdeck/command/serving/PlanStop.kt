package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.serving.PlannedStop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long the listener accepts new connections after the readiness check starts to fail. This leaves time for two
 * probes of the load balancer, which are one second apart, and one more.
 */
private val BALANCER_REMOVAL_DELAY = 3.seconds

/** How long before the platform kills the process the requests in progress are ended. */
private val STOP_MARGIN = 700.milliseconds

/** Plans a stop that begins at [now]. The platform kills the process [grace] later. */
public fun planStop(grace: Duration, now: Moment): PlannedStop {
    val limit = grace - STOP_MARGIN
    return PlannedStop(leavesRotationAt = now + minOf(BALANCER_REMOVAL_DELAY, limit / 2), endsAt = now + limit)
}
