package figdeck.model.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MAX_RENEWALS_PER_SECOND = 60

/**
 * How membership follows the store.
 *
 * @property renewal how often a member announces itself and reads the others.
 * @property lease how long an announcement holds.
 * @property settleTime how long after its first announcement a member owns no buckets; longer than a renewal, so that
 * every other member has seen it.
 * @property suspicionTimeout how long a member that didn't answer is passed over.
 */
public data class MembershipTimings(
    public val renewal: Duration = 1.seconds,
    public val lease: Duration = 3_500.milliseconds,
    public val settleTime: Duration = 1_300.milliseconds,
    public val suspicionTimeout: Duration = 1_500.milliseconds,
)

/** Times for a fleet of [members]: announcements of large fleets are rarer, so that the store bears them. */
public fun membershipTimings(members: Int): MembershipTimings {
    val base = MembershipTimings()
    val factor = (members.toDouble() / MAX_RENEWALS_PER_SECOND).coerceAtLeast(1.0)
    return base.copy(
        renewal = base.renewal * factor,
        lease = base.lease * factor,
        settleTime = base.settleTime * factor,
    )
}

/** The members as the store listed them, at [storeMillis] of its clock. */
public data class FleetScan(
    public val members: List<FleetMember>,
    public val storeMillis: Long,
    public val sentAt: Moment,
)

/**
 * What a bucket held when its owner announced it.
 *
 * @property announcedAtMillis the store's clock then.
 */
public data class BucketLevel(
    public val tokens: Int,
    public val announcedAtMillis: Long,
)

/** The store's clock at [now]. */
public fun FleetScan.storeMillisAt(now: Moment): Long = storeMillis + (now - sentAt).inWholeMilliseconds

/**
 * Who else serves, as this host knows it.
 *
 * @property scan the latest list; null before the first.
 * @property renewedAt when the latest renewal that the store confirmed was sent; null before the first.
 * @property levels what the owners of buckets announced last.
 * @property suspects the members that didn't answer, and until when they are passed over.
 */
public data class Fleet(
    public val self: FleetMember,
    public val times: MembershipTimings,
    public val scan: FleetScan?,
    public val renewedAt: Moment?,
    public val levels: PersistentMap<TeamId, BucketLevel>,
    public val suspects: PersistentMap<HostId, Moment>,
)
