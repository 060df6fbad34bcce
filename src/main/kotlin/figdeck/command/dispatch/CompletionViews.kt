package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** The view of this upstream for [request], in a pool that is placed by [pace]. */
internal fun UpstreamState.completionView(
    pace: PoolPace,
    request: DispatchRequest,
    policy: DispatchPolicy,
    now: Moment,
): UpstreamView {
    val speed = pace.speedOf(this, now)
    val free = freeFor(request, policy, now)
    val ahead = loadAhead(free, request, speed, now)
    val isNear = request.placement?.dataCentre.let { it == null || it == upstream.dataCentre }
    val wait = maxOf(ahead.slotWait, tokenWait(request.lane, queue(request.lane).requestsAhead(request.team), now))
    val delay = wait + if (isNear) Duration.ZERO else policy.crossCentreRoundTrip
    val completion = CompletionView(
        relativePace = pace.relativePace(this, now),
        expectedTime = delay + speed.timeOf(request.expectedTokens),
        isInTime = now + delay + speed.timeOf(request.likelyMaxTokens) <= request.deadline,
        slotWait = wait,
        remainingWork = ahead.remainingWork,
    )
    return UpstreamView(upstream, load = (upstream.slots - free).toDouble(), delay, free, completion)
}

/** The wait for a slot of an upstream, and what its running requests still need. */
private data class LoadAhead(
    val slotWait: Duration,
    val remainingWork: Duration,
)

private val noLoad = LoadAhead(Duration.ZERO, Duration.ZERO)

/** The load ahead of [request]. Where a slot is free and this host grants alone, no choice depends on it. */
private fun UpstreamState.loadAhead(
    free: Int,
    request: DispatchRequest,
    speed: ExpectedSpeed,
    now: Moment,
): LoadAhead = if (free > 0 && request.placement?.isOnlyGranter == true) {
    noLoad
} else {
    val work = remainingWork(request.lane, speed, now)
    val wait = if (free > 0) Duration.ZERO else slotWait(request, work, speed, now)
    LoadAhead(wait, work.remainingNanos.nanoseconds)
}

/**
 * The free slots that [request] may take: none if its tokens don't fit. Batch work leaves the headroom, and waits
 * behind other batch work.
 */
private fun UpstreamState.freeFor(request: DispatchRequest, policy: DispatchPolicy, now: Moment): Int {
    val open = grantableSlots(request.lane, now) - online.waiting.size
    val free = when (request.lane) {
        Lane.ONLINE -> open
        Lane.BATCH -> open - batch.waiting.size - headroom.wholeSlots(now, policy.headroom)
    }
    return if (hasTokensFor(request)) free else minOf(free, 0)
}
