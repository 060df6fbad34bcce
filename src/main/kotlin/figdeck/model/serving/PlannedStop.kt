package figdeck.model.serving

import figdeck.model.Moment

/**
 * A planned stop of this host.
 *
 * @property leavesRotationAt when the load balancer no longer sends new connections here.
 * @property endsAt when the requests that are still in progress are ended.
 */
public data class PlannedStop(
    public val leavesRotationAt: Moment,
    public val endsAt: Moment,
)
