package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The expected speed of an upstream. A decision computes with it for each running request, so it has plain numbers.
 *
 * @property firstEventNanos the time to the first event.
 * @property tokenNanos the time per output token.
 */
internal data class ExpectedSpeed(
    val firstEventNanos: Double,
    val tokenNanos: Double,
)

/** The expected speed of [state]. */
internal fun PoolPace.speedOf(state: UpstreamState, now: Moment): ExpectedSpeed =
    ExpectedSpeed(firstEventNanosAt(state, now), tokenNanos * relativePace(state, now))

/** How long a request of [tokens] output tokens holds a slot at this speed. */
internal fun ExpectedSpeed.timeOf(tokens: Int): Duration = nanosOf(tokens).nanoseconds

private fun ExpectedSpeed.nanosOf(tokens: Int): Double = firstEventNanos + tokenNanos * tokens

/**
 * The load of an upstream at one moment.
 *
 * @property remainingNanos the time that the running requests still need, summed. One that takes longer than expected
 *   counts 0.
 * @property blockingSlots the slots for whose return a request has to wait.
 */
internal data class RemainingWork(
    val remainingNanos: Double,
    val blockingSlots: Int,
)

/** The running work ahead of a request in [lane]. Online work takes the slots of batch work at once. */
internal fun UpstreamState.remainingWork(lane: Lane, speed: ExpectedSpeed, now: Moment): RemainingWork {
    var remaining = 0.0
    var blocking = 0
    running.values.forEach {
        if (it.revokedAt == null && (lane == Lane.BATCH || it.request.lane == Lane.ONLINE)) {
            val runSoFar = now.monotonicNanos - it.since.monotonicNanos
            remaining += (speed.nanosOf(it.request.expectedTokens) - runSoFar).coerceAtLeast(0.0)
            blocking++
        }
    }
    return RemainingWork(remaining, blocking)
}

/**
 * The time until [request] gets a slot: the remaining work of the slots, and of the requests that are served before, by
 * the number of slots. The time until the first of several slots is free would be shorter, but it is 0 as soon as one
 * request takes longer than expected, and then tells nothing.
 */
internal fun UpstreamState.slotWait(
    request: DispatchRequest,
    work: RemainingWork,
    speed: ExpectedSpeed,
    now: Moment,
): Duration {
    val onlineAhead = if (request.lane == Lane.BATCH) online.waiting.size else 0
    val ahead = onlineAhead + queue(request.lane).requestsAhead(request.team)
    val slots = usableSlots(now)
    val isFree = ahead + work.blockingSlots < slots && hasTokensFor(request)
    val nanos = work.remainingNanos + speed.nanosOf(request.expectedTokens) * ahead
    return if (isFree) Duration.ZERO else (nanos / slots.coerceAtLeast(1)).nanoseconds
}

/** How long the request that runs under [ticket] is expected to hold its slot; null unless it is placed by that. */
internal fun DispatchState.expectedSlotTime(ticket: Long, policy: DispatchPolicy, now: Moment): Duration? {
    val state = tickets[ticket]?.let { upstreams[it] }
    val request = state?.running?.get(ticket)?.request
    val pace = request?.let { activePace(it, policy) }
    return pace?.speedOf(state, now)?.timeOf(request.expectedTokens)
}

/** The mean number of output tokens that the request is expected to generate. */
internal val DispatchRequest.expectedTokens: Int get() = expected?.outputTokens ?: cost

/** A number of output tokens that the request is unlikely to exceed. */
internal val DispatchRequest.likelyMaxTokens: Int get() = expected?.upperOutputTokens ?: cost
