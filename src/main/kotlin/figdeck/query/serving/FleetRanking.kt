package figdeck.query.serving

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.storeMillisAt

private const val MIN_RELATIVE_CORES = 0.8

/** The key that determines the owner of the slots of [pool]. */
public fun slotKey(pool: PoolName): String = "slots/$pool"

/**
 * The live members that are not suspected and that [isEligible] accepts, ordered by their preference for [key] in
 * rendezvous hashing.
 */
public fun Fleet.ranked(
    key: String,
    now: Moment,
    isEligible: (FleetMember) -> Boolean = { true },
): List<FleetMember> =
    liveMembers()
        .filter { !isSuspect(it.host, now) && isEligible(it) }
        .withMostCores()
        .map { it to rendezvousScore(key, it.host) }
        .sortedByDescending { (_, score) -> score }
        .map { (member, _) -> member }

/**
 * The member that owns [key]. It is the same for all hosts that have read the same list, and null while no member has
 * been announced long enough for all hosts to have seen it.
 */
public fun Fleet.settledOwner(key: String, now: Moment): FleetMember? =
    liveMembers().filter { isSettled(it, now) }.withMostCores().maxByOrNull { rendezvousScore(key, it.host) }

/** The members with nearly the most cores. Work for the whole fleet would overload smaller hosts. */
private fun List<FleetMember>.withMostCores(): List<FleetMember> {
    val most = maxOfOrNull { it.cores } ?: 0.0
    return filter { it.cores >= most * MIN_RELATIVE_CORES }
}

/** Where the bucket of a team is kept. */
public sealed interface BucketLocation {
    /** On this host. */
    public data object Local : BucketLocation

    /** On [owner]. */
    public data class Remote(public val owner: FleetMember) : BucketLocation

    /** Its owner is unreachable, or the owner's lease may have expired. */
    public data object Unreachable : BucketLocation
}

/**
 * The location of the bucket with [key]. Only members whose announcement has reached all hosts may own buckets. A host
 * that is cut off from the store still keeps its buckets for itself and for other hosts that are cut off.
 */
public fun Fleet.bucketLocation(key: String, now: Moment): BucketLocation {
    val owner = settledOwner(key, now)
    return when {
        owner == null -> BucketLocation.Unreachable
        owner.host == self.host && (ownsByLease(now) || isCutOff(now)) -> BucketLocation.Local
        owner.host == self.host -> BucketLocation.Unreachable
        isSuspect(owner.host, now) -> BucketLocation.Unreachable
        else -> BucketLocation.Remote(owner)
    }
}

/** Requires a recent member list, since an older one may lack a member that has joined and become an owner since. */
private fun Fleet.ownsByLease(now: Moment): Boolean =
    ownLeaseHolds(now) && scan != null && now - scan.sentAt < times.settleTime

private fun Fleet.isSettled(member: FleetMember, now: Moment): Boolean =
    scan != null && scan.storeMillisAt(now) - member.joinedAtMillis >= times.settleTime.inWholeMilliseconds

private fun rendezvousScore(key: String, host: HostId): Long = Hashing.komihash5_0().hashStream()
    .putString(key)
    .putString(host.value)
    .asLong
