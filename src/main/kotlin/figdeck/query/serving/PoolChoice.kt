package figdeck.query.serving

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingRoute

/** The pool that serves the request [id] of this route; the same for each attempt with that id. */
public fun ServingRoute.poolFor(id: String): PoolName {
    val point = Math.floorMod(Hashing.komihash5_0().hashCharsToLong(id), pools.sumOf { it.weight }.toLong())
    var sum = 0L
    return pools.first { share ->
        sum += share.weight
        point < sum
    }.pool
}

/** The upstreams of [pool] that take new work, but for those in [without]. */
public fun Map<UpstreamId, PoolMember>.usable(pool: PoolName, without: Set<UpstreamId>): List<Upstream> = values
    .filter { it.isUsable(pool, without) }
    .map { it.upstream }

/** The upstream [id] of [pool] if it takes new work and isn't in [without]. */
public fun Map<UpstreamId, PoolMember>.usable(pool: PoolName, without: Set<UpstreamId>, id: UpstreamId): Upstream? =
    this[id]?.takeIf { it.isUsable(pool, without) }?.upstream

private fun PoolMember.isUsable(pool: PoolName, without: Set<UpstreamId>): Boolean =
    this.pool == pool && !isLeaving && upstream.id !in without
