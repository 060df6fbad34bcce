package figdeck.query.serving

import figdeck.model.UpstreamId
import figdeck.model.serving.Fleet
import figdeck.model.serving.PoolMember
import figdeck.model.serving.ServingPlan

/**
 * What a host knows of pools, fleet and plan when it places a request.
 *
 * @property plan the plan in force; null before the first one was read.
 */
public data class PlacementView(
    public val members: Map<UpstreamId, PoolMember>,
    public val fleet: Fleet,
    public val plan: ServingPlan?,
)
