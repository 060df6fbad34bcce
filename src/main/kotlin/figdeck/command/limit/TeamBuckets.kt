package figdeck.command.limit

import figdeck.command.Step
import figdeck.command.ownership.OwnedShard
import figdeck.model.Epoch
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Extra tokens leave the capacity divided by this number in the bucket. */
private const val RESERVE_DIVISOR = 2

/** A team's bucket, kept by the owner of [epoch]. */
public data class OwnedBucket(
    public val epoch: Epoch,
    public val bucket: TokenBucket,
)

/** The buckets of the teams whose shards this host owns. */
public data class TeamBuckets(public val buckets: PersistentMap<TeamId, OwnedBucket>)

/**
 * A request for tokens of [team].
 *
 * @property waiting the number of tokens for requests that already wait.
 * @property extra the number of tokens for requests expected soon.
 * @property unspent the number of tokens to refund from an earlier grant, which arrived after its lifetime.
 */
public data class TokenDraw(
    public val team: TeamId,
    public val waiting: Int,
    public val extra: Int,
    public val unspent: Int = 0,
)

/**
 * The answer to a [TokenDraw].
 *
 * @property wait how long to wait before the next draw if fewer tokens were granted than requests wait for.
 * @property lifetime how long the tokens may be spent, counted from the sending of the draw.
 */
public data class TokenGrant(
    public val granted: Int,
    public val wait: Duration,
    public val lifetime: Duration,
)

/**
 * Grants tokens for [draw] from the bucket of its team, whose shard this host holds as [owned]. Extra tokens come only
 * from the upper half of the bucket, so that waiting requests never lack tokens that expire unspent elsewhere.
 */
public fun grant(
    state: TeamBuckets,
    draw: TokenDraw,
    limit: Limit,
    owned: OwnedShard,
    now: Moment,
): Step<TeamBuckets, TokenGrant> {
    val parameters = limit.grantParameters()
    val bucket = state.bucketOf(draw.team, parameters, owned).refund(draw.unspent, parameters)
    val available = bucket.available(parameters, now)
    val reserve = (parameters.capacityNanos / parameters.emissionIntervalNanos / RESERVE_DIVISOR).toInt()
    val needed = minOf(draw.waiting, available)
    val spare = (available - needed - reserve).coerceAtLeast(0)
    val count = needed + minOf(draw.extra, spare)
    val taken = bucket.take(count, parameters, now).getOrNull() ?: bucket
    val wait = taken.take(1, parameters, now).leftOrNull() ?: Duration.ZERO
    val next = TeamBuckets(state.buckets.put(draw.team, OwnedBucket(owned.epoch, taken)))
    return Step(next, TokenGrant(count, maxOf(wait, 1.nanoseconds), parameters.grantLifetime))
}

private fun TeamBuckets.bucketOf(team: TeamId, parameters: BucketParameters, owned: OwnedShard): TokenBucket =
    buckets[team]?.takeIf { it.epoch == owned.epoch }?.bucket ?: emptyBucket(parameters, owned.claimedAt)
