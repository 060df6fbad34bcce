package figdeck.command.dispatch

import figdeck.model.Moment
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Absorbs the rounding of token counts, which would otherwise delay a token that is due exactly now. */
private const val ROUNDING = 1e-9

/**
 * The tokens of a limited upstream at [updatedAt]. Each granted slot takes one.
 *
 * @property tokens those that are held; where they expire, those that have come since the last one was taken.
 */
public data class RateBucket(
    public val limit: RateLimit,
    public val tokens: Double,
    public val updatedAt: Moment,
)

/** The whole tokens at [now]. */
public fun RateBucket.wholeTokens(now: Moment): Int {
    val tokens = tokensAt(now)
    return when {
        limit.tokenLifetime == null -> floor(tokens).toInt()
        tokens >= 1 && fractionOf(tokens) / limit.requestsPerSecond <= limit.tokenLifetime.inSeconds -> 1
        else -> 0
    }
}

/** The time until there are [count] tokens; where they expire, until as many have come that are taken in time. */
public fun RateBucket.timeToTokens(count: Int, now: Moment): Duration {
    val tokens = tokensAt(now)
    val usable = wholeTokens(now)
    val lacking = if (limit.tokenLifetime == null) count - tokens else count - usable - fractionOf(tokens)
    return if (count <= usable) Duration.ZERO else (lacking / limit.requestsPerSecond).seconds
}

/** This bucket after a granted slot has taken a token. */
internal fun RateBucket.take(now: Moment): RateBucket {
    val tokens = tokensAt(now)
    return copy(tokens = if (limit.tokenLifetime == null) tokens - 1 else fractionOf(tokens), updatedAt = now)
}

/** The bucket under [limit]. A new one starts without a whole token. */
internal fun RateBucket?.limitedTo(limit: RateLimit, now: Moment): RateBucket = when {
    this == null -> RateBucket(limit, limit.initialTokens, now)
    this.limit == limit -> this
    this.limit.isOwnPart || limit.isOwnPart -> RateBucket(limit, fractionOf(tokensAt(now)), now)
    else -> RateBucket(limit, tokensAt(now).coerceAtMost(limit.capacity), now)
}

private fun RateBucket.tokensAt(now: Moment): Double {
    val elapsed = (now - updatedAt).inSeconds.coerceAtLeast(0.0)
    val all = tokens + elapsed * limit.requestsPerSecond + ROUNDING
    return if (limit.tokenLifetime == null) all.coerceAtMost(limit.capacity) else all
}

private fun fractionOf(tokens: Double): Double = tokens - floor(tokens)

private val Duration.inSeconds: Double get() = toDouble(DurationUnit.SECONDS)
