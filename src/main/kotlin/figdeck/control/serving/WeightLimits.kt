package figdeck.control.serving

import figdeck.command.serving.upstreamsWithOtherWeights
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Region
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.WeightsVersion
import figdeck.query.serving.usableUpstreams

/** This request without the upstreams that are known to have other weights than [version]. */
internal fun ServingState.withoutOtherWeights(request: SlotRequest, version: WeightsVersion, now: Moment): SlotRequest =
    request.copy(excluded = request.excluded + pools.upstreamsWithOtherWeights(request.pool, version, now))

/**
 * The refusal of a request for the weights [version] that is confined to [homes], if all upstreams of [pool] where it
 * may run are known to have others; null otherwise.
 */
internal fun ServingState.refusalByWeights(
    pool: PoolName,
    version: WeightsVersion,
    homes: Set<Region>?,
    now: Moment,
): Refusal? {
    val usable = pools.members.usableUpstreams(pool, emptySet(), limitsOf(homes))
    val others = pools.upstreamsWithOtherWeights(pool, version, now)
    return if (usable.isNotEmpty() && usable.all { it.id in others }) Refusal.WeightsUnavailable(version) else null
}
