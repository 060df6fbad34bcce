package figdeck.daemon.command.serving

import figdeck.command.dispatch.DispatchEffect
import figdeck.log.DecisionLog
import figdeck.telemetry.Meters
import io.micrometer.core.instrument.Tags

private val decisions = DecisionLog("slots")

/** Returns a function that counts a refused slot by the decision behind it, and logs whom it concerns. */
internal fun Meters.observeSlotRefusals(): (DispatchEffect.Refused) -> Unit = { refused ->
    val cause = refused.cause
    val reason = cause.reason.name.lowercase()
    val lane = cause.lane.name.lowercase()
    count("figdeck.slots.refused", Tags.of("reason", reason, "lane", lane))
    decisions.note("slot_refused", refused.ticket.toString()) {
        put("reason", reason)
        put("lane", lane)
        put("team", cause.team?.value ?: "none")
        put("retry_after_ms", refused.refusal.retryAfter?.inWholeMilliseconds ?: -1)
    }
}
