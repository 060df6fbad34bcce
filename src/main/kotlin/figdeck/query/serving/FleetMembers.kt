package figdeck.query.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether [host] is passed over. */
public fun Fleet.isSuspect(host: HostId, now: Moment): Boolean = suspects[host]?.let { now < it } ?: false

/** This host, and the others whose lease held when the store was read last. */
public fun Fleet.livingMembers(): List<FleetMember> {
    val others = scan?.let { seen ->
        seen.members.filter {
            it.host != self.host && seen.storeMillis - it.renewedAtMillis <= times.lease.inWholeMilliseconds
        }
    }
    return others.orEmpty() + self
}

/** How old the list of members may be before this host counts as cut off from the store. */
private const val CUT_OFF_RENEWALS = 2

/** How long a member that lapsed still counts as one that may be cut off from the store alone. */
private val LAPSED_FOR = 15.seconds

/** Whether this host has not read the list of members for long enough to miss a change of owners. */
public fun Fleet.isCutOff(now: Moment): Boolean = scan == null || now - scan.sentAt > times.renewal * CUT_OFF_RENEWALS

/** How many hosts may take requests, with those that lapsed not long ago. */
public fun Fleet.hostsAround(): Int {
    val lapsed = scan?.members.orEmpty().count {
        val age = (scan?.storeMillis ?: 0) - it.renewedAtMillis
        it.host != self.host && age > times.lease.inWholeMilliseconds && age < LAPSED_FOR.inWholeMilliseconds
    }
    return if (scan == null) UNKNOWN_FLEET else livingMembers().size + lapsed
}

/** The size that a host assumes of its fleet before it has heard of the others. */
private const val UNKNOWN_FLEET = 32

/** When this host joined, as its renewal at [now] tells: anew where the others may have taken its duties over. */
public fun Fleet.joinedAt(storeMillis: Long, now: Moment): Long =
    if (ownLeaseHolds(now)) self.joinedAtMillis else storeMillis

/**
 * Whether the store has confirmed this host recently enough for the others to count on it. The time of day is compared
 * as well, because the steady clock stands still while a host is suspended.
 */
public fun Fleet.ownLeaseHolds(now: Moment): Boolean {
    val safe = times.lease - times.renewal / 2
    return renewedAt != null && now - renewedAt < safe &&
        (now.epochMillis - renewedAt.epochMillis).milliseconds < safe
}
