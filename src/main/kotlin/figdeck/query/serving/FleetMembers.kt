package figdeck.query.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import kotlin.time.Duration.Companion.milliseconds

/** Whether [host] is passed over. */
public fun Fleet.isSuspect(host: HostId, now: Moment): Boolean = suspects[host]?.let { now < it } ?: false

/** This host, and the others whose lease held when the store was read last. */
public fun Fleet.livingMembers(): List<FleetMember> {
    val others = scan?.let { seen ->
        seen.members.filter {
            it.host != self.host && seen.storeMillis - it.renewedAt <= times.lease.inWholeMilliseconds
        }
    }
    return others.orEmpty() + self
}

/**
 * Whether the store has confirmed this host recently enough for the others to count on it. The time of day is compared
 * as well, because the steady clock stands still while a host is suspended.
 */
public fun Fleet.ownLeaseHolds(now: Moment): Boolean {
    val safe = times.lease - times.renewal / 2
    return renewedAt != null && now - renewedAt < safe &&
        (now.epochMillis - renewedAt.epochMillis).milliseconds < safe
}
