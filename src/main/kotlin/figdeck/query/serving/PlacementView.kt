package figdeck.query.serving

import figdeck.model.UpstreamId
import figdeck.model.serving.Fleet
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPlan

/** The upstreams of a pool that are not leaving, each with its start in Unix milliseconds if that is known. */
public typealias UpstreamStarts = Map<UpstreamId, Long?>

/**
 * What a host knows of pools, fleet and plan when it places a request.
 *
 * @property starts the upstreams of each pool. Requests keep this map while they run, so it is shared between them.
 * @property plan the plan in force; null before the first one was read.
 */
public data class PlacementView(
    public val starts: Map<PoolName, UpstreamStarts>,
    public val fleet: Fleet,
    public val plan: ServingPlan?,
)

/** The upstreams of each pool among [members]. */
public fun upstreamStarts(members: Map<UpstreamId, PoolMember>): Map<PoolName, UpstreamStarts> = members.values
    .filter { !it.isLeaving }
    .groupBy { it.pool }
    .mapValues { (_, upstreams) -> upstreams.associate { it.upstream.id to it.upstream.startedAtMillis } }
