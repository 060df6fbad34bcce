package figdeck.query.serving

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.storeMillisAt

/** The living members that are not suspected, in the order in which they serve [key]. */
public fun Fleet.ranked(key: String, now: Moment): List<FleetMember> =
    livingMembers().filterNot { isSuspect(it.host, now) }.sortedByDescending { weight(key, it.host) }

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
 * Where the bucket under [key] stands. Only members whose announcement has reached everybody may own buckets, and only
 * while their lease holds, so that two hosts never fill the same bucket.
 */
public fun Fleet.bucketPlace(key: String, now: Moment): BucketPlace {
    val owner = livingMembers().filter { isSettled(it, now) }.maxByOrNull { weight(key, it.host) }
    return when {
        owner == null -> BucketPlace.Unreachable
        owner.host == self.host -> if (ownLeaseHolds(now)) BucketPlace.Here else BucketPlace.Unreachable
        isSuspect(owner.host, now) -> BucketPlace.Unreachable
        else -> BucketPlace.Elsewhere(owner)
    }
}

private fun Fleet.isSettled(member: FleetMember, now: Moment): Boolean =
    scan != null && scan.storeMillisAt(now) - member.joinedAt >= times.settle.inWholeMilliseconds

private fun weight(key: String, host: HostId): Long = Hashing.komihash5_0().hashStream()
    .putString(key)
    .putString(host.value)
    .asLong
