package figdeck.query.serving

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.storeMillisAt

private const val STRONG_PART = 0.8

/** The living members that are not suspected, in the order in which they serve [key]. */
public fun Fleet.ranked(key: String, now: Moment): List<FleetMember> =
    livingMembers().filterNot { isSuspect(it.host, now) }.strongest().sortedByDescending { weight(key, it.host) }

/** The one member that owns [key] for all who have read the same list; null while none has been seen by all. */
public fun Fleet.settledOwner(key: String, now: Moment): FleetMember? =
    livingMembers().filter { isSettled(it, now) }.strongest().maxByOrNull { weight(key, it.host) }

/** The members with about the most processor time; what serves the whole fleet is too much for small hosts. */
private fun List<FleetMember>.strongest(): List<FleetMember> {
    val most = maxOfOrNull { it.cores } ?: 0.0
    return filter { it.cores >= most * STRONG_PART }
}

/** Where the bucket of a team stands. */
public sealed interface BucketPlace {
    /** On this host. */
    public data object Here : BucketPlace

    /** On [owner]. */
    public data class Elsewhere(public val owner: FleetMember) : BucketPlace

    /** Its owner can't be reached, or its lease is in doubt. */
    public data object Unreachable : BucketPlace
}

/**
 * Where the bucket under [key] stands. Only members whose announcement has reached everybody may own buckets. A host
 * that is cut off from the store still keeps its buckets for itself and for others that are cut off.
 */
public fun Fleet.bucketPlace(key: String, now: Moment): BucketPlace {
    val owner = settledOwner(key, now)
    return when {
        owner == null -> BucketPlace.Unreachable
        owner.host == self.host && (ownsByLease(now) || isCutOff(now)) -> BucketPlace.Here
        owner.host == self.host -> BucketPlace.Unreachable
        isSuspect(owner.host, now) -> BucketPlace.Unreachable
        else -> BucketPlace.Elsewhere(owner)
    }
}

/** An older list may lack a member that has joined and settled since. */
private fun Fleet.ownsByLease(now: Moment): Boolean =
    ownLeaseHolds(now) && scan != null && now - scan.sentAt < times.settleTime

private fun Fleet.isSettled(member: FleetMember, now: Moment): Boolean =
    scan != null && scan.storeMillisAt(now) - member.joinedAtMillis >= times.settleTime.inWholeMilliseconds

private fun weight(key: String, host: HostId): Long = Hashing.komihash5_0().hashStream()
    .putString(key)
    .putString(host.value)
    .asLong
