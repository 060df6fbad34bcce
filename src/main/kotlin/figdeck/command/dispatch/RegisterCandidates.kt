package figdeck.command.dispatch

import figdeck.model.Moment
import figdeck.model.Upstream

/** The state of [upstream], with its currently configured slots and address. */
internal fun DispatchState.registeredStateOf(upstream: Upstream, now: Moment): UpstreamState =
    upstreams[upstream.id]?.updatedTo(upstream, now) ?: idleUpstream(upstream, now)

/**
 * This state with all candidates of [request] registered, so that idle ones can steal work queued at others, and with
 * their cold limits in force.
 */
internal fun DispatchState.withCandidates(request: DispatchRequest, now: Moment): DispatchState =
    request.candidates.fold(this) { state, upstream ->
        val known = state.registeredStateOf(upstream, now)
        val limited = known.limitedBy(request.coldLimits[upstream.id], now)
        if (limited == state.upstreams[upstream.id]) state else state.with(limited)
    }
