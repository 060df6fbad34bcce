package figdeck.command.serving

import figdeck.command.Step
import figdeck.command.limit.TokenBucket
import figdeck.command.limit.emptyBucket
import figdeck.command.limit.fullBucket
import figdeck.command.limit.plainShape
import figdeck.command.limit.take
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

private const val MIN_SHARE_RATE = 0.1
private const val SHARE_OF_BURST = 0.5

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

/** The answer of another host to the question for a token. */
public sealed interface TakeAnswer {
    /** The host keeps the bucket. */
    public data class Decided(public val result: TakeResult) : TakeAnswer

    /** The host does not keep the bucket, or not yet. */
    public data object NotOwner : TakeAnswer
}

/** Takes a token of [team] for all hosts. A bucket that this host did not fill before starts empty. */
public fun takeOwned(state: SharedLimits, team: TeamId, limit: Limit, now: Moment): Step<SharedLimits, TakeResult> {
    val bucket = state.owned[team] ?: emptyBucket(limit.plainShape(), now)
    return bucket.take(1, limit, now).fold(
        { wait -> Step(state.copy(owned = state.owned.put(team, bucket)), TakeResult(false, wait)) },
        { taken -> Step(state.copy(owned = state.owned.put(team, taken)), TakeResult(true, Duration.ZERO)) },
    )
}

/**
 * Takes a token of [team] from this host's part of its limit, as one of [members] hosts. The parts of all hosts start
 * with half of the burst together; where their sum is above the limit, it is so by less than that.
 */
public fun takeShare(
    state: SharedLimits,
    team: TeamId,
    limit: Limit,
    members: Int,
    now: Moment,
): Step<SharedLimits, TakeResult> {
    val rate = (limit.ratePerSecond / members).coerceAtLeast(MIN_SHARE_RATE)
    val part = Limit(rate, 1 + (limit.burst * SHARE_OF_BURST / members).toInt())
    val bucket = state.shares[team] ?: fullBucket(now)
    return bucket.take(1, part, now).fold(
        { wait -> Step(state.copy(shares = state.shares.put(team, bucket)), TakeResult(false, wait)) },
        { taken -> Step(state.copy(shares = state.shares.put(team, taken)), TakeResult(true, Duration.ZERO)) },
    )
}
