package figdeck.command.dispatch

import figdeck.command.Step
import figdeck.model.Moment
import figdeck.model.Upstream

/** Records a slot at [upstream] that a previous owner granted to [ticket] before that owner was lost. */
public fun adoptSlot(
    state: DispatchState,
    ticket: Long,
    request: DispatchRequest,
    upstream: Upstream,
    now: Moment,
): DispatchStep {
    if (ticket in state.tickets) {
        return Step(state, emptyList())
    }
    val known = state.registeredStateOf(upstream, now)
    val running = known.running.put(ticket, RunningRequest(ticket, request, now, revokedAt = null))
    val adopted = state.copy(tickets = state.tickets.put(ticket, upstream.id)).with(known.copy(running = running))
    return Step(adopted, emptyList())
}
