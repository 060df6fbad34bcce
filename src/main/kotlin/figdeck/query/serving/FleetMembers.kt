package figdeck.query.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether [host] is currently suspected to be down. */
public fun Fleet.isSuspect(host: HostId, now: Moment): Boolean = suspects[host]?.let { now < it } ?: false

/** This host and the others whose lease was valid when the member list was last read. */
public fun Fleet.liveMembers(): List<FleetMember> {
    val others = scan?.let { seen ->
        seen.members.filter {
            it.host != self.host && seen.storeMillis - it.renewedAtMillis <= times.lease.inWholeMilliseconds
        }
    }
    return others.orEmpty() + self
}

/** The maximum age of the member list, in renewal periods, before this host counts as cut off from the store. */
private const val CUT_OFF_RENEWALS = 2

/** How long a member with an expired lease still counts, since it may only be cut off from the store. */
private val LAPSED_RETENTION = 15.seconds

/** Whether the member list of this host is so old that it may have missed a change of owners. */
public fun Fleet.isCutOff(now: Moment): Boolean = scan == null || now - scan.sentAt > times.renewal * CUT_OFF_RENEWALS

/** The number of hosts that may accept requests, including those whose lease expired recently. */
public fun Fleet.estimatedHostCount(): Int {
    val lapsed = scan?.members.orEmpty().count {
        val age = (scan?.storeMillis ?: 0) - it.renewedAtMillis
        it.host != self.host && age > times.lease.inWholeMilliseconds && age < LAPSED_RETENTION.inWholeMilliseconds
    }
    return if (scan == null) ASSUMED_FLEET_SIZE else liveMembers().size + lapsed
}

/** The fleet size that a host assumes before it has read the member list. */
private const val ASSUMED_FLEET_SIZE = 32

/**
 * The join time that this host writes with its renewal at [now]. A host whose lease may have expired joins anew, since
 * others may own its buckets by now.
 */
public fun Fleet.joinedAt(storeMillis: Long, now: Moment): Long =
    if (ownLeaseHolds(now)) self.joinedAtMillis else storeMillis

/**
 * Whether the store has confirmed this host's lease so recently that other hosts still consider it valid. Also compares
 * wall-clock times, because the monotonic clock stops while a host is suspended.
 */
public fun Fleet.ownLeaseHolds(now: Moment): Boolean {
    val safe = times.lease - times.renewal / 2
    return renewedAt != null && now - renewedAt < safe &&
        (now.epochMillis - renewedAt.epochMillis).milliseconds < safe
}
