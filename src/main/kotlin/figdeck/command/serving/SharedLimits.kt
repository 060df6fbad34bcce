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

/** The part of what a bucket held that the hosts may spend together while they can't reach its owner. */
private const val FALLBACK_BURST_FRACTION = 0.4

/** The part of its burst that a team may have spent between the last announcement of its level and the loss. */
private const val UNREPORTED_BURST_FRACTION = 0.35

/**
 * The buckets that this host fills.
 *
 * @property owned of the teams whose limit it keeps for all hosts.
 * @property fallback this host's part of the limits whose owner can't be reached.
 */
public data class SharedLimits(
    public val owned: PersistentMap<TeamId, TokenBucket>,
    public val fallback: PersistentMap<TeamId, TokenBucket>,
)

/** Limits before any request. */
public val emptySharedLimits: SharedLimits = SharedLimits(persistentMapOf(), persistentMapOf())

/** Whether a token was taken; where not, [wait] tells when there will be one. */
public data class TakeResult(
    public val taken: Boolean,
    public val wait: Duration,
)

/**
 * A question for a token of [team].
 *
 * @property isCutOff whether the host that asks can't reach the store.
 */
public data class TakeRequest(
    public val from: HostId,
    public val team: TeamId,
    public val isCutOff: Boolean,
)

/** The answer of another host to the question for a token. */
public sealed interface TakeResponse {
    /** The host keeps the bucket. */
    public data class Decided(public val result: TakeResult) : TakeResponse

    /** The host does not keep the bucket, or not yet. */
    public data object NotOwner : TakeResponse
}

/**
 * How a limit stands towards a fleet.
 *
 * @property level the tokens that its bucket held when an owner announced it last; null when it was full.
 * @property fraction the part of the rate that this host may let through, where others let the rest through.
 */
public data class LimitConditions(
    public val limit: Limit,
    public val level: Int?,
    public val fraction: Double,
)

/** Takes a token of [team] for the hosts that ask this one. */
public fun takeOwned(
    state: SharedLimits,
    team: TeamId,
    conditions: LimitConditions,
    now: Moment,
): Step<SharedLimits, TakeResult> {
    val limit = conditions.limit
    val left = (conditions.level ?: limit.burst) - UNREPORTED_BURST_FRACTION * limit.burst
    val bucket = state.owned[team] ?: bucketHolding(left, limit.localParameters(), now)
    // Rate and burst shrink alike, so that a change of the part changes no tokens.
    val fractionLimit = Limit(
        ratePerSecond = (limit.ratePerSecond * conditions.fraction).coerceAtLeast(MIN_RATE_PER_SECOND),
        burst = (limit.burst * conditions.fraction).toInt().coerceAtLeast(1),
    )
    val taken = bucket.takeOne(fractionLimit, now)
    return Step(state.copy(owned = state.owned.put(team, taken.state)), taken.result)
}

/** Takes a token of [team] from this host's own part of its limit, while the owner can't be reached. */
public fun takeFromFallback(
    state: SharedLimits,
    team: TeamId,
    conditions: LimitConditions,
    now: Moment,
): Step<SharedLimits, TakeResult> {
    val held = (conditions.level ?: conditions.limit.burst) * FALLBACK_BURST_FRACTION * conditions.fraction
    val fractionLimit = Limit(
        ratePerSecond = (conditions.limit.ratePerSecond * conditions.fraction).coerceAtLeast(MIN_RATE_PER_SECOND),
        burst = 1 + (conditions.limit.burst * FALLBACK_BURST_FRACTION * conditions.fraction).toInt(),
    )
    val bucket = state.fallback[team] ?: bucketHolding(held + 1, fractionLimit.localParameters(), now)
    val taken = bucket.takeOne(fractionLimit, now)
    return Step(state.copy(fallback = state.fallback.put(team, taken.state)), taken.result)
}

private fun TokenBucket.takeOne(limit: Limit, now: Moment): Step<TokenBucket, TakeResult> = take(1, limit, now).fold(
    { wait -> Step(this, TakeResult(false, wait)) },
    { taken -> Step(taken, TakeResult(true, Duration.ZERO)) },
)

/** The tokens left in the buckets that this host keeps, where they are not full. */
public fun SharedLimits.levels(limits: Map<TeamId, Limit>, now: Moment): Map<TeamId, Int> = owned.entries
    .mapNotNull { (team, bucket) ->
        limits[team]?.let { team to (bucket.available(it.localParameters(), now) to it.burst) }
    }
    .filter { (_, level) -> level.first < level.second }
    .associate { (team, level) -> team to level.first }
