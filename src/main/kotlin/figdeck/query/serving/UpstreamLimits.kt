package figdeck.query.serving

import figdeck.model.DataCentre
import figdeck.model.Refusal
import figdeck.model.Region
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName

/**
 * Where a request may run.
 *
 * @property evacuated the data centres that get no new work.
 * @property homes the regions whose upstreams may run the request; null for all.
 * @property regions the region of each data centre, as far as it is known.
 */
public data class UpstreamLimits(
    public val evacuated: Set<DataCentre>,
    public val homes: Set<Region>?,
    public val regions: Map<DataCentre, Region>,
)

/** The limits of a request that may run everywhere. */
public val noUpstreamLimits: UpstreamLimits = UpstreamLimits(emptySet(), null, emptyMap())

/** Whether the request may be sent to [upstream]. */
public fun UpstreamLimits.permit(upstream: Upstream): Boolean =
    upstream.dataCentre !in evacuated && isHome(upstream.dataCentre)

/** Whether [centre] is in a home region of the request. A data centre of an unknown region is in none. */
public fun UpstreamLimits.isHome(centre: DataCentre): Boolean = homes == null || regions[centre] in homes

/** The usable upstreams of [pool] to which [limits] permit no request. */
public fun Map<UpstreamId, PoolMember>.forbiddenUpstreams(pool: PoolName, limits: UpstreamLimits): Set<UpstreamId> =
    usableUpstreams(pool, emptySet()).filterNot { limits.permit(it) }.map { it.id }.toSet()

/**
 * Why [limits] leave no upstream of [pool] for a request that may not run at those in [excluded]. Returns null if they
 * leave one, or if there is none without them either.
 */
public fun Map<UpstreamId, PoolMember>.refusalByLimits(
    pool: PoolName,
    excluded: Set<UpstreamId>,
    limits: UpstreamLimits,
): Refusal? {
    val isUnlimited = limits.evacuated.isEmpty() && limits.homes == null
    val usable = if (isUnlimited) emptyList() else usableUpstreams(pool, excluded)
    return when {
        usable.isEmpty() || usable.any { limits.permit(it) } -> null
        usable.any { limits.isHome(it.dataCentre) } -> Refusal.Evacuated("this route")
        else -> Refusal.NoHomeUpstream("this route")
    }
}
