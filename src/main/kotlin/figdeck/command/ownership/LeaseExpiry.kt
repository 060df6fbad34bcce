package figdeck.command.ownership

import figdeck.model.Moment
import kotlin.time.Duration

/** When this host may end the lease of [observed] unless its row changes before; null for this host's own lease. */
public fun OwnershipState.expiryOf(observed: ObservedHost): Moment? {
    val guardians = observed.row.lease.guardians
    val isGuardian = guardians.isEmpty() || self.host in guardians
    val promisedUntil = observed.promisedAt?.let { it + times.lease + times.margin }
    val wait = if (isGuardian) times.lease else times.maxLease
    val unchangedUntil = observed.unchangedSince + (wait + times.margin)
    val isOwn = observed.row.lease.incarnation == held?.lease?.incarnation
    return when {
        isOwn -> null
        promisedUntil != null && promisedUntil > unchangedUntil -> promisedUntil
        else -> unchangedUntil
    }
}

/** The time until the next lease of another host expires; null if no lease is due to expire. */
public fun OwnershipState.timeToNextExpiry(now: Moment): Duration? =
    hosts.values.mapNotNull { expiryOf(it) }.filter { it > now }.minOfOrNull { it - now }
