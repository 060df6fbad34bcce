package figdeck.query.serving

import figdeck.command.dispatch.PlacementContext
import figdeck.model.Moment
import figdeck.model.serving.SlotRequest
import kotlin.time.Duration

/**
 * What the placement of [request] by expected completion depends on.
 *
 * @param key the key by which the host that grants the slots of the pool is chosen.
 */
public fun placementContextOf(
    request: SlotRequest,
    key: String,
    view: PlacementView,
    now: Moment,
): PlacementContext {
    val pool = view.plan?.pools?.find { it.name == request.pool }
    val fleet = view.fleet
    val others = fleet.scan?.members.orEmpty()
    val sender = fleet.self.takeIf { it.host == request.from } ?: others.find { it.host == request.from }
    return PlacementContext(
        pool = request.pool,
        host = request.from,
        dataCentre = sender?.dataCentre,
        isOnlyGranter = !fleet.isCutOff(now) && fleet.bucketLocation(key, now) == BucketLocation.Local,
        upstreams = view.starts[request.pool].orEmpty(),
        tokensPerEvent = pool?.tokensPerEvent ?: 1,
        coldTime = pool?.coldStart?.duration ?: Duration.ZERO,
    )
}
