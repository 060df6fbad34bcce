package figdeck.command.dispatch

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.hashToUnit
import figdeck.model.serving.ColdStartPolicy
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The part of the tolerated rate that the one host with the lease may use. */
private const val MAIN_SHARE = 0.75

/** The part that all other hosts share. They grant slots too while hosts can't reach each other or the store. */
private const val COMMON_SHARE = 1 - MAIN_SHARE

/** The most tokens that a bucket holds, in seconds of its rate. Held tokens add to the rate of a single second. */
private const val HELD_SECONDS = 0.25
private const val MIN_CAPACITY = 1.0

/** Absorbs the rounding of token counts, which would otherwise delay a token that is due exactly now. */
private const val ROUNDING = 1e-9

/**
 * The requests that this host may send to an upstream while it is cold.
 *
 * @property until when the upstream stops being cold.
 * @property requestsPerSecond this host's part of the rate that the upstream tolerates.
 * @property initialTokens the part of the first token, below 1, with which a new bucket starts. It differs from host to
 * host, so that hosts that begin to grant at the same moment don't all send at the same moment.
 */
public data class ColdLimit(
    public val until: Moment,
    public val requestsPerSecond: Double,
    public val initialTokens: Double = 0.0,
)

/** The tokens of a cold upstream at [updatedAt]. Each granted slot takes one. */
public data class ColdBucket(
    public val limit: ColdLimit,
    public val tokens: Double,
    public val updatedAt: Moment,
)

/** The limit of the only host that holds the lease for the upstream's pool. */
public fun mainColdLimit(policy: ColdStartPolicy, until: Moment): ColdLimit =
    ColdLimit(until, policy.requestsPerSecond * MAIN_SHARE)

/** The limit of [host], one of [hosts] hosts that may grant slots at [upstream] without the lease. */
public fun ownColdLimit(
    policy: ColdStartPolicy,
    until: Moment,
    hosts: Int,
    host: HostId,
    upstream: UpstreamId,
): ColdLimit = ColdLimit(
    until = until,
    requestsPerSecond = policy.requestsPerSecond * COMMON_SHARE / hosts.coerceAtLeast(1),
    initialTokens = hashToUnit(host, upstream.value),
)

/** Whether the upstream is still cold at [now]. */
public fun ColdBucket.isActive(now: Moment): Boolean = now < limit.until

/** The whole tokens at [now]. */
public fun ColdBucket.wholeTokens(now: Moment): Int = floor(tokensAt(now) + ROUNDING).toInt()

/** The time until there are [count] tokens or the upstream is no longer cold. */
public fun ColdBucket.timeToTokens(count: Int, now: Moment): Duration {
    val lacking = count - tokensAt(now) - ROUNDING
    val wait = if (lacking <= 0) Duration.ZERO else (lacking / limit.requestsPerSecond).seconds
    return wait.coerceAtMost((limit.until - now).coerceAtLeast(Duration.ZERO))
}

/** This bucket after a granted slot has taken a token. */
internal fun ColdBucket.take(now: Moment): ColdBucket = copy(tokens = tokensAt(now) - 1, updatedAt = now)

/**
 * The bucket under [limit]. A new cold period starts with an empty bucket. Without a limit the bucket stays as it is
 * until its own period ends: a request that was placed before the upstream became cold doesn't lift the limit.
 */
internal fun ColdBucket?.limitedBy(limit: ColdLimit?, now: Moment): ColdBucket? {
    val current = this?.takeIf { it.isActive(now) }
    return when {
        limit == null || now >= limit.until -> current
        current == null -> ColdBucket(limit, limit.initialTokens, now)
        else -> ColdBucket(limit, current.tokensAt(now).coerceAtMost(limit.capacity), now)
    }
}

private fun ColdBucket.tokensAt(now: Moment): Double {
    val elapsed = (now - updatedAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
    return (tokens + elapsed * limit.requestsPerSecond).coerceAtMost(limit.capacity)
}

private val ColdLimit.capacity: Double get() = maxOf(MIN_CAPACITY, requestsPerSecond * HELD_SECONDS)
