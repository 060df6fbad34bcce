package figdeck.command.serving

import figdeck.command.Step
import figdeck.command.limit.TokenBucket
import figdeck.command.limit.available
import figdeck.command.limit.bucketHolding
import figdeck.command.limit.localParameters
import figdeck.command.limit.take
import figdeck.model.HostId
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

private const val MIN_RATE_PER_SECOND = 0.1

/** The fraction of a bucket's burst and last level that all hosts together may spend while its owner is unreachable. */
private const val FALLBACK_BURST_FRACTION = 0.4

/** The fraction of its burst that a team may have spent between the last announced level and the loss of the owner. */
private const val UNREPORTED_BURST_FRACTION = 0.35

/**
 * The token buckets that this host maintains.
 *
 * @property owned the buckets that this host keeps for all hosts.
 * @property fallback the buckets with this host's fraction of limits whose owner is unreachable.
 */
public data class SharedLimits(
    public val owned: PersistentMap<TeamId, TokenBucket>,
    public val fallback: PersistentMap<TeamId, TokenBucket>,
)

/** The state before any request. */
public val emptySharedLimits: SharedLimits = SharedLimits(persistentMapOf(), persistentMapOf())

/** Whether a token was taken. If not, [wait] is the time until one is available. */
public data class TakeResult(
    public val taken: Boolean,
    public val wait: Duration,
)

/**
 * A request to the owner of a bucket for a token of [team].
 *
 * @property isCutOff whether the requesting host is cut off from the store.
 */
public data class TakeRequest(
    public val from: HostId,
    public val team: TeamId,
    public val isCutOff: Boolean,
)

/** The response of another host to a [TakeRequest]. */
public sealed interface TakeResponse {
    /** The host owns the bucket and returns its decision. */
    public data class Decided(public val result: TakeResult) : TakeResponse

    /** The host does not own the bucket, or not yet. */
    public data object NotOwner : TakeResponse
}

/**
 * A limit, together with the announced use of its bucket and the fraction that this host may grant.
 *
 * @property level the number of tokens in the bucket when an owner last announced it, or null if the bucket was full.
 * @property fraction the fraction of the limit that this host may grant, where other hosts may grant the rest.
 */
public data class LimitConditions(
    public val limit: Limit,
    public val level: Int?,
    public val fraction: Double,
)

/** Takes a token of [team] from the bucket that this host keeps for all hosts. */
public fun takeOwned(
    state: SharedLimits,
    team: TeamId,
    conditions: LimitConditions,
    now: Moment,
): Step<SharedLimits, TakeResult> {
    val limit = conditions.limit
    val remaining = (conditions.level ?: limit.burst) - UNREPORTED_BURST_FRACTION * limit.burst
    val bucket = state.owned[team] ?: bucketHolding(remaining, limit.localParameters(), now)
    // Rate and burst shrink in proportion, so that a change of the fraction does not change the stored tokens.
    val scaledLimit = Limit(
        ratePerSecond = (limit.ratePerSecond * conditions.fraction).coerceAtLeast(MIN_RATE_PER_SECOND),
        burst = (limit.burst * conditions.fraction).toInt().coerceAtLeast(1),
    )
    val taken = bucket.takeOne(scaledLimit, now)
    return Step(state.copy(owned = state.owned.put(team, taken.state)), taken.result)
}

/** Takes a token of [team] from this host's fraction of the limit while the owner is unreachable. */
public fun takeFromFallback(
    state: SharedLimits,
    team: TeamId,
    conditions: LimitConditions,
    now: Moment,
): Step<SharedLimits, TakeResult> {
    val held = (conditions.level ?: conditions.limit.burst) * FALLBACK_BURST_FRACTION * conditions.fraction
    val scaledLimit = Limit(
        ratePerSecond = (conditions.limit.ratePerSecond * conditions.fraction).coerceAtLeast(MIN_RATE_PER_SECOND),
        burst = 1 + (conditions.limit.burst * FALLBACK_BURST_FRACTION * conditions.fraction).toInt(),
    )
    val bucket = state.fallback[team] ?: bucketHolding(held + 1, scaledLimit.localParameters(), now)
    val taken = bucket.takeOne(scaledLimit, now)
    return Step(state.copy(fallback = state.fallback.put(team, taken.state)), taken.result)
}

private fun TokenBucket.takeOne(limit: Limit, now: Moment): Step<TokenBucket, TakeResult> = take(1, limit, now).fold(
    { wait -> Step(this, TakeResult(false, wait)) },
    { taken -> Step(taken, TakeResult(true, Duration.ZERO)) },
)

/** The remaining tokens of the buckets that this host keeps for all hosts, without full buckets. */
public fun SharedLimits.levels(limits: Map<TeamId, Limit>, now: Moment): Map<TeamId, Int> = owned.entries
    .mapNotNull { (team, bucket) ->
        limits[team]?.let { team to (bucket.available(it.localParameters(), now) to it.burst) }
    }
    .filter { (_, level) -> level.first < level.second }
    .associate { (team, level) -> team to level.first }
