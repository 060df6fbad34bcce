package figdeck.command.dispatch

import figdeck.model.Moment

/** The pace of this upstream after [running] has returned its slot with [release]. */
internal fun UpstreamState.paceAfter(running: RunningRequest, release: Release, now: Moment): UpstreamPace {
    val context = running.request.placement?.takeIf { observes(running, it) }
    val usage = release.usage
    return if (context == null || usage == null) pace else pace.observe(usage, context.tokensPerEvent, now)
}

/** Whether [running] began at the present start of the upstream, and not while that was cold. */
private fun UpstreamState.observes(running: RunningRequest, context: PlacementContext): Boolean {
    val startedAt = context.upstreams[upstream.id]
    val isSameStart = startedAt == null || startedAt == pace.startedAtMillis
    return isSameStart && (pace.coldUntil == null || running.since >= pace.coldUntil)
}
