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
 * The timings of the membership protocol, which runs over the store.
 *
 * @property renewal the interval at which a member announces itself and reads the list of members.
 * @property lease how long an announcement remains valid.
 * @property settleTime how long after its first announcement a member owns no rate-limit buckets; longer than a renewal
 * interval, so that every other member has read the announcement by then.
 * @property suspicionTimeout how long a member that didn't respond is skipped.
 */
public data class MembershipTimings(
    public val renewal: Duration = 1.seconds,
    public val lease: Duration = 3_500.milliseconds,
    public val settleTime: Duration = 1_300.milliseconds,
    public val suspicionTimeout: Duration = 1_500.milliseconds,
)

/** Returns the timings for a fleet of [members]. Large fleets renew less often, to limit the load on the store. */
public fun membershipTimings(members: Int): MembershipTimings {
    val base = MembershipTimings()
    val factor = (members.toDouble() / MAX_RENEWALS_PER_SECOND).coerceAtLeast(1.0)
    return base.copy(
        renewal = base.renewal * factor,
        lease = base.lease * factor,
        settleTime = base.settleTime * factor,
    )
}

/** The members listed by the store when its clock showed [storeMillis]. [sentAt] is when this host sent the read. */
public data class FleetScan(
    public val members: List<FleetMember>,
    public val storeMillis: Long,
    public val sentAt: Moment,
)

/**
 * The number of tokens in a rate-limit bucket as announced by its owner.
 *
 * @property announcedAtMillis the time of the announcement on the store's clock.
 */
public data class BucketLevel(
    public val tokens: Int,
    public val announcedAtMillis: Long,
)

/** Estimates the store's clock at [now]. */
public fun FleetScan.storeMillisAt(now: Moment): Long = storeMillis + (now - sentAt).inWholeMilliseconds

/**
 * The members of the fleet as known to this host.
 *
 * @property scan the latest list of members; null before the first read.
 * @property renewedAt when this host sent the latest renewal that the store confirmed; null before the first.
 * @property levels the latest announced levels of the rate-limit buckets.
 * @property suspects the members that didn't respond, with the time until which each is skipped.
 */
public data class Fleet(
    public val self: FleetMember,
    public val times: MembershipTimings,
    public val scan: FleetScan?,
    public val renewedAt: Moment?,
    public val levels: PersistentMap<TeamId, BucketLevel>,
    public val suspects: PersistentMap<HostId, Moment>,
)
