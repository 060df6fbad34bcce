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

private const val RESERVE_DIVISOR = 2

/** A team's bucket as the owner of [epoch] keeps it. */
public data class OwnedBucket(
    public val epoch: Epoch,
    public val bucket: TokenBucket,
)

/** The buckets of the teams whose shards this host owns. */
public data class TeamBuckets(public val buckets: PersistentMap<TeamId, OwnedBucket>)

/**
 * A question for tokens of [team].
 *
 * @property waiting for requests that wait for them now.
 * @property extra for requests expected soon.
 * @property unspent tokens of an earlier grant whose answer came after their life; nobody spent them.
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
 * @property wait when to ask again, where fewer were granted than wait.
 * @property lifetime how long the tokens may be spent, from the moment the question was sent.
 */
public data class TokenGrant(
    public val granted: Int,
    public val wait: Duration,
    public val lifetime: Duration,
)

/**
 * Takes what [draw] asks for from its team's bucket, owned as [owned]. Extra tokens come only from the upper half, so
 * that tokens which expire unspent are never missed.
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
    val half = (parameters.capacityNanos / parameters.emissionIntervalNanos / RESERVE_DIVISOR).toInt()
    val needed = minOf(draw.waiting, available)
    val spare = (available - needed - half).coerceAtLeast(0)
    val count = needed + minOf(draw.extra, spare)
    val taken = bucket.take(count, parameters, now).getOrNull() ?: bucket
    val wait = taken.take(1, parameters, now).leftOrNull() ?: Duration.ZERO
    val next = TeamBuckets(state.buckets.put(draw.team, OwnedBucket(owned.epoch, taken)))
    return Step(next, TokenGrant(count, maxOf(wait, 1.nanoseconds), parameters.grantLifetime))
}

private fun TeamBuckets.bucketOf(team: TeamId, parameters: BucketParameters, owned: OwnedShard): TokenBucket =
    buckets[team]?.takeIf { it.epoch == owned.epoch }?.bucket ?: emptyBucket(parameters, owned.claimedAt)
