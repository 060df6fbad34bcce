package figdeck.command.serving

import figdeck.command.Step
import figdeck.command.limit.TokenBucket
import figdeck.command.limit.available
import figdeck.command.limit.bucketWith
import figdeck.command.limit.plainShape
import figdeck.command.limit.take
import figdeck.model.HostId
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

private const val MIN_SHARE_RATE = 0.1

/** The part of what a bucket held that the hosts may spend together while they can't reach its owner. */
private const val SHARED_PART = 0.4

/** The part of its burst that a team may have spent between the last announcement of its level and the loss. */
private const val UNSEEN_PART = 0.35

/**
 * The buckets that this host fills.
 *
 * @property owned of the teams whose limit it keeps for all hosts.
 * @property shares this host's part of the limits whose owner can't be reached.
 */
public data class SharedLimits(
    public val owned: PersistentMap<TeamId, TokenBucket>,
    public val shares: PersistentMap<TeamId, TokenBucket>,
)

/** Limits before any request. */
public val noLimitsUsed: SharedLimits = SharedLimits(persistentMapOf(), persistentMapOf())

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
public data class TakeAsk(
    public val from: HostId,
    public val team: TeamId,
    public val isCutOff: Boolean,
)

/** The answer of another host to the question for a token. */
public sealed interface TakeAnswer {
    /** The host keeps the bucket. */
    public data class Decided(public val result: TakeResult) : TakeAnswer

    /** The host does not keep the bucket, or not yet. */
    public data object NotOwner : TakeAnswer
}

/**
 * How a limit stands towards a fleet.
 *
 * @property level the tokens that its bucket held when an owner announced it last; null when it was full.
 * @property part the part of the rate that this host may let through, where others let the rest through.
 */
public data class LimitStanding(
    public val limit: Limit,
    public val level: Int?,
    public val part: Double,
)

/** Takes a token of [team] for the hosts that ask this one. */
public fun takeOwned(
    state: SharedLimits,
    team: TeamId,
    standing: LimitStanding,
    now: Moment,
): Step<SharedLimits, TakeResult> {
    val limit = standing.limit
    val left = (standing.level ?: limit.burst) - UNSEEN_PART * limit.burst
    val bucket = state.owned[team] ?: bucketWith(left, limit.plainShape(), now)
    // Rate and burst shrink alike, so that a change of the part changes no tokens.
    val part = Limit(
        ratePerSecond = (limit.ratePerSecond * standing.part).coerceAtLeast(MIN_SHARE_RATE),
        burst = (limit.burst * standing.part).toInt().coerceAtLeast(1),
    )
    val taken = bucket.takeOne(part, now)
    return Step(state.copy(owned = state.owned.put(team, taken.state)), taken.result)
}

/** Takes a token of [team] from this host's own part of its limit, while the owner can't be reached. */
public fun takeShare(
    state: SharedLimits,
    team: TeamId,
    standing: LimitStanding,
    now: Moment,
): Step<SharedLimits, TakeResult> {
    val held = (standing.level ?: standing.limit.burst) * SHARED_PART * standing.part
    val part = Limit(
        ratePerSecond = (standing.limit.ratePerSecond * standing.part).coerceAtLeast(MIN_SHARE_RATE),
        burst = 1 + (standing.limit.burst * SHARED_PART * standing.part).toInt(),
    )
    val bucket = state.shares[team] ?: bucketWith(held + 1, part.plainShape(), now)
    val taken = bucket.takeOne(part, now)
    return Step(state.copy(shares = state.shares.put(team, taken.state)), taken.result)
}

private fun TokenBucket.takeOne(limit: Limit, now: Moment): Step<TokenBucket, TakeResult> = take(1, limit, now).fold(
    { wait -> Step(this, TakeResult(false, wait)) },
    { taken -> Step(taken, TakeResult(true, Duration.ZERO)) },
)

/** The tokens left in the buckets that this host keeps, where they are not full. */
public fun SharedLimits.levels(limits: Map<TeamId, Limit>, now: Moment): Map<TeamId, Int> = owned.entries
    .mapNotNull { (team, bucket) -> limits[team]?.let { team to (bucket.available(it.plainShape(), now) to it.burst) } }
    .filter { (_, level) -> level.first < level.second }
    .associate { (team, level) -> team to level.first }
