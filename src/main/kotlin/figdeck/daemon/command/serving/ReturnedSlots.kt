package figdeck.daemon.command.serving

import figdeck.control.serving.ServingState
import figdeck.control.serving.limitsOf
import figdeck.log.DecisionLog
import figdeck.model.UpstreamId
import figdeck.model.serving.SlotRequest
import figdeck.query.serving.isHome

private val decisions = DecisionLog("slots")

/**
 * Logs that the slot of [request] at [upstream] is returned unused, with what this host believes about the upstream:
 * the granting host may have read the evacuations, the homes or the upstreams earlier or later.
 */
internal fun ServingState.noteReturnedSlot(request: SlotRequest, upstream: UpstreamId) {
    val centre = pools.members[upstream]?.upstream?.dataCentre
    val evacuation = centre?.let { evacuations.centres[it] }
    decisions.note("slot_returned", request.ticket.toString()) {
        put("pool", request.pool.value)
        put("upstream", upstream.value)
        when {
            centre == null -> put("reason", "unknown upstream")
            evacuation != null -> {
                put("reason", "evacuated")
                put("data_centre", centre.value)
                put("version", evacuation)
            }
            !limitsOf(request.homes).isHome(centre) -> {
                put("reason", "outside the request's homes")
                put("data_centre", centre.value)
            }
            else -> put("reason", "leaving or excluded")
        }
    }
}
