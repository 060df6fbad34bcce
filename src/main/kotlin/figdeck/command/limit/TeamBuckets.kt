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

private const val KEPT_FOR_WAITING = 2

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
public data class Draw(
    public val team: TeamId,
    public val waiting: Int,
    public val extra: Int,
    public val unspent: Int = 0,
)

/**
 * The answer to a [Draw].
 *
 * @property wait when to ask again, where fewer were granted than wait.
 * @property life how long the tokens may be spent, from the moment the question was sent.
 */
public data class Grant(
    public val granted: Int,
    public val wait: Duration,
    public val life: Duration,
)

/**
 * Takes what [draw] asks for from its team's bucket, owned as [owned]. Extra tokens come only from the upper half, so
 * that tokens which expire unspent are never missed.
 */
public fun grant(
    state: TeamBuckets,
    draw: Draw,
    limit: Limit,
    owned: OwnedShard,
    now: Moment,
): Step<TeamBuckets, Grant> {
    val shape = limit.drawnShape()
    val bucket = state.bucketOf(draw.team, shape, owned).giveBack(draw.unspent, shape)
    val available = bucket.available(shape, now)
    val half = (shape.capacityNanos / shape.intervalNanos / KEPT_FOR_WAITING).toInt()
    val needed = minOf(draw.waiting, available)
    val spare = (available - needed - half).coerceAtLeast(0)
    val count = needed + minOf(draw.extra, spare)
    val taken = bucket.take(count, shape, now).getOrNull() ?: bucket
    val wait = taken.take(1, shape, now).leftOrNull() ?: Duration.ZERO
    val next = TeamBuckets(state.buckets.put(draw.team, OwnedBucket(owned.epoch, taken)))
    return Step(next, Grant(count, maxOf(wait, 1.nanoseconds), shape.grantLife))
}

private fun TeamBuckets.bucketOf(team: TeamId, shape: BucketShape, owned: OwnedShard): TokenBucket =
    buckets[team]?.takeIf { it.epoch == owned.epoch }?.bucket ?: emptyBucket(shape, owned.claimedAt)
