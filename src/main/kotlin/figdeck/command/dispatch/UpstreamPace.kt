package figdeck.command.dispatch

import figdeck.model.Moment
import figdeck.model.serving.SlotUsage
import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds

/** The number of requests over which the fast average forms. */
private const val FAST_REQUESTS = 4.0

/**
 * The number of requests over which the slow average forms. Requests that run at the same time see the same noise, so
 * that with half of it an engine among twelve seemed slow now and then.
 */
private const val SLOW_REQUESTS = 64.0

/** The number of output tokens from which a request has full weight. The time of a few tokens is mostly noise. */
private const val FULL_WEIGHT_TOKENS = 64.0

/** The weight of the old slow average after a gap. It lets the requests after the gap decide, but no single one. */
private const val WEIGHT_AFTER_GAP = 4.0

/** The number of observed requests from which the pace of an upstream is known. */
private const val MIN_OBSERVATIONS = 8

/** The weight from which the slow average is trusted fully. */
private const val FULL_TRUST_WEIGHT = 48.0
private val MAX_OBSERVATION_AGE = 10.seconds

/**
 * An exponentially weighted mean.
 *
 * @property weight the sum of the weights of all values, each reduced by the weight that came after it.
 */
public data class MovingAverage(
    public val value: Double = 0.0,
    public val weight: Double = 0.0,
)

/** The same quantity averaged over some requests ([fast]) and over some dozens of them ([slow]). */
public data class PaceAverages(
    public val fast: MovingAverage = MovingAverage(),
    public val slow: MovingAverage = MovingAverage(),
)

/**
 * The pace of an upstream since it started, as the holders of its slots have seen it.
 *
 * @property startedAtMillis the start of the upstream; null if that is unknown.
 * @property coldUntil until when the upstream is slow because it has started. Requests sent before are not observed.
 * @property tokenNanos the time per output token, in nanoseconds.
 * @property firstEventNanos the time to the first event, in nanoseconds.
 * @property observations the number of requests in [tokenNanos].
 * @property observedAt when the latest request was observed; null before the first one.
 */
public data class UpstreamPace(
    public val startedAtMillis: Long? = null,
    public val coldUntil: Moment? = null,
    public val tokenNanos: PaceAverages = PaceAverages(),
    public val firstEventNanos: PaceAverages = PaceAverages(),
    public val observations: Int = 0,
    public val observedAt: Moment? = null,
)

/** The pace of an upstream of which nothing has been observed. */
public val unknownPace: UpstreamPace = UpstreamPace()

/** Whether enough requests were observed to compare the upstream with others. */
public val UpstreamPace.isKnown: Boolean get() = observations >= MIN_OBSERVATIONS

/** How far the slow average is trusted, between 0 and 1. The average of few requests differs by noise alone. */
internal val UpstreamPace.trust: Double get() = minOf(1.0, tokenNanos.slow.weight / FULL_TRUST_WEIGHT)

/** Whether the latest observation is too old to avoid the upstream because of it. */
public fun UpstreamPace.isOutdated(now: Moment): Boolean = observedAt != null && now - observedAt >= MAX_OBSERVATION_AGE

/**
 * The pace after a request with [usage]. The first event contains [tokensPerEvent] tokens, whose time is part of the
 * time to the first event. After a gap without observations the fast average starts again, so that one request shows
 * whether the upstream has recovered.
 */
public fun UpstreamPace.observe(usage: SlotUsage, tokensPerEvent: Int, now: Moment): UpstreamPace {
    val timedTokens = usage.outputTokens - tokensPerEvent
    if (usage.timeToFirstEvent == null || timedTokens <= 0 || !usage.streamingTime.isPositive()) {
        return this
    }
    val recent = if (isOutdated(now)) afterGap() else this
    val tokenNanos = usage.streamingTime.inWholeNanoseconds.toDouble() / timedTokens
    val weight = minOf(1.0, timedTokens / FULL_WEIGHT_TOKENS)
    return recent.copy(
        tokenNanos = recent.tokenNanos.observe(tokenNanos, weight),
        firstEventNanos = recent.firstEventNanos.observe(usage.timeToFirstEvent.inWholeNanoseconds.toDouble(), 1.0),
        observations = observations + 1,
        observedAt = now,
    )
}

/** This pace, or an unknown one if the upstream has started anew at [startedAtMillis] and is cold until [coldUntil]. */
public fun UpstreamPace.ofStart(startedAtMillis: Long?, coldUntil: Moment): UpstreamPace = when {
    startedAtMillis == null || startedAtMillis == this.startedAtMillis -> this
    this.startedAtMillis == null -> copy(startedAtMillis = startedAtMillis)
    else -> UpstreamPace(startedAtMillis = startedAtMillis, coldUntil = coldUntil)
}

/** This pace of an upstream that is cold until [until] or longer. */
internal fun UpstreamPace.coldUntil(until: Moment): UpstreamPace =
    if (coldUntil != null && coldUntil >= until) this else copy(coldUntil = until)

private fun UpstreamPace.afterGap() = copy(
    tokenNanos = tokenNanos.afterGap(),
    firstEventNanos = firstEventNanos.afterGap(),
)

private fun PaceAverages.afterGap() =
    PaceAverages(MovingAverage(), slow.copy(weight = minOf(slow.weight, WEIGHT_AFTER_GAP)))

private fun PaceAverages.observe(value: Double, weight: Double) =
    PaceAverages(fast.observe(value, weight, FAST_REQUESTS), slow.observe(value, weight, SLOW_REQUESTS))

private fun MovingAverage.observe(observed: Double, observedWeight: Double, span: Double): MovingAverage {
    val total = weight * exp(-observedWeight / span) + observedWeight
    return MovingAverage(value + (observed - value) * observedWeight / total, total)
}
