package figdeck.command.dispatch

import figdeck.model.Moment
import figdeck.model.UpstreamId
import kotlin.time.Duration.Companion.milliseconds

/** The relative pace from which an upstream counts as slow, and the one below which it no longer does. */
private const val SLOW_FROM = 1.25
private const val SLOW_UNTIL = 1.15

/** An upstream is compared with others only where at least one of this many upstreams of its pool is known. */
private const val KNOWN_FRACTION_DIVISOR = 2

/**
 * The range of relative paces that count as equal to the median. The averages of equal engines with noise differ by
 * up to a tenth, and the best of many would otherwise get all requests.
 */
private const val EVEN_FROM = 0.8

/** The relative pace up to which an upstream counts as fast, and the one above which it no longer does. */
private const val FAST_FROM = 0.75
private const val FAST_UNTIL = 0.85

/** How long a comparison of the upstreams of a pool is used. */
private val REVIEW_INTERVAL = 200.milliseconds

/**
 * The comparison of the upstreams of a pool.
 *
 * @property tokenNanos the median time per output token of the known upstreams, in nanoseconds.
 * @property firstEventNanos the median time to the first event of the known upstreams, in nanoseconds.
 * @property known the number of upstreams whose pace is known.
 * @property upstreams the upstreams that are not leaving.
 * @property slow the upstreams that count as slow, with their relative paces at [reviewedAt].
 * @property slowest the relative pace of the slowest known upstream; 1 if none is known.
 * @property isByCompletion whether requests to the pool are placed by expected completion.
 * @property fast the upstreams that count as fast. Where most upstreams of a pool are slow, the median is theirs.
 */
public data class PoolPace(
    public val tokenNanos: Double,
    public val firstEventNanos: Double,
    public val known: Int,
    public val upstreams: Set<UpstreamId>,
    public val slow: Map<UpstreamId, Double>,
    public val slowest: Double,
    public val isByCompletion: Boolean,
    public val reviewedAt: Moment,
    public val fast: Set<UpstreamId> = emptySet(),
)

/**
 * Compares the upstreams of the pool of [request] anew if the latest comparison is too old. Without a
 * [DispatchPolicy.completionChoice] or a [DispatchRequest.placement] the state stays as it is.
 */
internal fun DispatchState.reviewPace(request: DispatchRequest, policy: DispatchPolicy, now: Moment): DispatchState {
    val context = request.placement
    val last = context?.let { paces[it.pool] }
    return when {
        context == null || policy.completionChoice == null -> this
        last != null && now - last.reviewedAt < REVIEW_INTERVAL -> this
        else -> {
            val current = withStarts(context, last, now)
            current.copy(paces = paces.put(context.pool, current.comparePaces(context, last, now)))
        }
    }
}

/** The comparison for a request that is placed by expected completion, or null if it is placed as by default. */
internal fun DispatchState.activePace(request: DispatchRequest, policy: DispatchPolicy): PoolPace? =
    request.placement
        ?.let { paces[it.pool] }
        ?.takeIf { it.isByCompletion && policy.completionChoice != null }

/** The choice by which [request] is placed. */
internal fun DispatchState.choiceFor(request: DispatchRequest, policy: DispatchPolicy): ChoicePolicy =
    policy.completionChoice?.takeIf { activePace(request, policy) != null } ?: policy.choose

/**
 * The pace of [state] relative to the median of its pool, 1 if it is known too little or about even. An upstream that
 * counts as slow is taken as even once its fast average is: the slow average follows only after dozens of requests. An
 * idle upstream that has not been observed for a while counts as even too, so that one request tries it.
 */
internal fun PoolPace.relativePace(state: UpstreamState, now: Moment): Double {
    val slow = state.pace.tokenNanos.slow.value / tokenNanos
    return when {
        !state.isComparable(now) -> 1.0
        state.upstream.id !in this.slow -> if (trusted(slow, state.pace) < EVEN_FROM) slow else 1.0
        state.pace.tokenNanos.fast.value / tokenNanos < SLOW_UNTIL -> 1.0
        else -> slow
    }
}

/** The time to the first event at [state] in nanoseconds, with the median of its pool where that is about equal. */
internal fun PoolPace.firstEventNanosAt(state: UpstreamState, now: Moment): Double {
    val own = state.pace.firstEventNanos.slow.value
    val isEven = !state.isComparable(now) || own / firstEventNanos in EVEN_FROM..SLOW_FROM
    return if (isEven) firstEventNanos else own
}

/** The relative pace as far as it is trusted. */
private fun trusted(relativePace: Double, pace: UpstreamPace): Double = 1 + (relativePace - 1) * pace.trust

private fun UpstreamState.isComparable(now: Moment): Boolean =
    pace.isKnown && !(pace.isOutdated(now) && running.isEmpty())

private fun DispatchState.comparePaces(context: PlacementContext, last: PoolPace?, now: Moment): PoolPace {
    val known = context.upstreams.keys.mapNotNull { upstreams[it] }.filter { it.pace.isKnown }
    val tokenNanos = known.map { it.pace.tokenNanos.slow.value }.lowerMedian()
    val relative = known.associate { it.upstream.id to it.pace.tokenNanos.slow.value / tokenNanos }
    val slow = relative.filter { (id, pace) ->
        val wasSlow = last != null && id in last.slow
        if (wasSlow) pace >= SLOW_UNTIL else trusted(pace, upstreams.getValue(id).pace) >= SLOW_FROM
    }
    val fast = relative.filter { (id, pace) ->
        val wasFast = last != null && id in last.fast
        if (wasFast) pace <= FAST_UNTIL else trusted(pace, upstreams.getValue(id).pace) <= FAST_FROM
    }
    val isKnown = known.isNotEmpty() && known.size * KNOWN_FRACTION_DIVISOR >= context.upstreams.size
    return PoolPace(
        tokenNanos = tokenNanos,
        firstEventNanos = known.map { it.pace.firstEventNanos.slow.value }.lowerMedian(),
        known = known.size,
        upstreams = context.upstreams.keys,
        slow = if (isKnown) slow else emptyMap(),
        slowest = relative.values.maxOrNull() ?: 1.0,
        isByCompletion = isKnown && (slow.isNotEmpty() || fast.isNotEmpty()),
        reviewedAt = now,
        fast = if (isKnown) fast.keys else emptySet(),
    )
}

/**
 * Forgets the paces of upstreams that have started anew. Upstreams that have joined since the [last] comparison count
 * as just started.
 */
private fun DispatchState.withStarts(context: PlacementContext, last: PoolPace?, now: Moment): DispatchState =
    context.upstreams.entries.fold(this) { current, (id, startedAt) ->
        val state = current.upstreams[id]
        val coldUntil = now + context.coldTime
        val hasJoined = last != null && id !in last.upstreams
        val pace = state?.pace?.ofStart(
            startedAt,
            coldUntil
        )?.let { if (hasJoined) it.copy(coldUntil = coldUntil) else it }
        if (state == null || pace == null || pace == state.pace) current else current.with(state.copy(pace = pace))
    }

/** The median; of an even number of values the lower one, so that one slow upstream of two differs from it. */
private fun List<Double>.lowerMedian(): Double = if (isEmpty()) 0.0 else sorted()[(size - 1) / 2]
