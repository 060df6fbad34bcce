package figdeck.command.ownership

import figdeck.model.Moment
import kotlin.time.Duration

/** When this host may end the lease of [seen], unless its row changes before; null for this host's own. */
public fun OwnershipState.lapseOf(seen: SeenHost): Moment? {
    val guardians = seen.row.lease.guardians
    val isGuardian = guardians.isEmpty() || self.host in guardians
    val promisedUntil = seen.promisedAt?.let { it + times.lease + times.margin }
    val wait = if (isGuardian) times.lease else times.longWait
    val unchangedUntil = seen.firstSeen + (wait + times.margin)
    val isOwn = seen.row.lease.incarnation == held?.lease?.incarnation
    return when {
        isOwn -> null
        promisedUntil != null && promisedUntil > unchangedUntil -> promisedUntil
        else -> unchangedUntil
    }
}

/** The time until the next lease of another host lapses; null while none will. */
public fun OwnershipState.timeToLapse(now: Moment): Duration? =
    hosts.values.mapNotNull { lapseOf(it) }.filter { it > now }.minOfOrNull { it - now }
