package figdeck.telemetry

import figdeck.control.serving.ServingState
import figdeck.control.serving.limitsOf
import figdeck.query.serving.forbiddenUpstreams

/** Sets the gauges of the evacuated data centres, and of the upstreams that they take out of each pool. */
internal fun Meters.updateEvacuations(state: ServingState) {
    val limits = state.limitsOf(homes = null)
    val pools = state.pools.members.values.map { it.pool }.distinct()
    replaceGauges("figdeck.evacuated", "data_centre", limits.evacuated.associate { it.value to 1 })
    replaceGauges(
        "figdeck.evacuated.upstreams",
        "pool",
        pools.associate { it.value to state.pools.members.forbiddenUpstreams(it, limits).size },
    )
}
