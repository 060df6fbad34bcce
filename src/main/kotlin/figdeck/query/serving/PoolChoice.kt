package figdeck.query.serving

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingRoute

/** The pool that serves the request [id] of this route, chosen by weight and the same for each attempt. */
public fun ServingRoute.poolFor(id: String): PoolName {
    val position = Math.floorMod(Hashing.komihash5_0().hashCharsToLong(id), pools.sumOf { it.weight }.toLong())
    var sum = 0L
    return pools.first { share ->
        sum += share.weight
        position < sum
    }.pool
}

/** The upstreams of [pool] that accept new work and that [limits] permit, except those in [excluded]. */
public fun Map<UpstreamId, PoolMember>.usableUpstreams(
    pool: PoolName,
    excluded: Set<UpstreamId>,
    limits: UpstreamLimits = noUpstreamLimits,
): List<Upstream> = values
    .filter { it.isUsable(pool, excluded) && limits.permit(it.upstream) }
    .map { it.upstream }

/** The entry of the upstream [id] of [pool] if it accepts new work, isn't in [excluded] and [limits] permit it. */
public fun Map<UpstreamId, PoolMember>.usableMember(
    pool: PoolName,
    excluded: Set<UpstreamId>,
    id: UpstreamId,
    limits: UpstreamLimits = noUpstreamLimits,
): PoolMember? =
    this[id]?.takeIf { it.isUsable(pool, excluded) && limits.permit(it.upstream) }

private fun PoolMember.isUsable(pool: PoolName, excluded: Set<UpstreamId>): Boolean =
    this.pool == pool && !isLeaving && upstream.id !in excluded
