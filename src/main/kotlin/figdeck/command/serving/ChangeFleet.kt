package figdeck.command.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.BucketLevel
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.MembershipTimings
import figdeck.model.serving.membershipTimings
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration.Companion.seconds

/** How long an announced bucket level stays meaningful, since buckets refill. */
private val MAX_LEVEL_AGE = 10.seconds

/** A fleet whose only known member is [self]. */
public fun singleMemberFleet(self: FleetMember): Fleet = Fleet(
    self = self,
    times = MembershipTimings(),
    scan = null,
    renewedAt = null,
    levels = persistentMapOf(),
    suspects = persistentMapOf(),
)

/** Replaces the member list with [scan] and merges the bucket levels that its members announce. */
public fun applyScan(state: Fleet, scan: FleetScan): Fleet =
    state.copy(scan = scan, times = membershipTimings(scan.members.size), levels = latestLevels(state, scan))

private fun latestLevels(state: Fleet, scan: FleetScan): PersistentMap<TeamId, BucketLevel> {
    val recent = state.levels.filterValues {
        scan.storeMillis - it.announcedAtMillis < MAX_LEVEL_AGE.inWholeMilliseconds
    }
    return scan.members.fold(recent.toPersistentMap()) { levels, member ->
        member.levels.entries.fold(levels) { all, (team, tokens) ->
            val known = all[team]
            if (known == null || known.announcedAtMillis < member.renewedAtMillis) {
                all.put(team, BucketLevel(tokens, member.renewedAtMillis))
            } else {
                all
            }
        }
    }
}

/** Records that the store confirmed a renewal sent at [sentAt], which wrote [self]. */
public fun confirmRenewal(state: Fleet, self: FleetMember, sentAt: Moment): Fleet =
    state.copy(self = self, renewedAt = sentAt)

/** Marks [host] as suspect for a limited time after it failed to answer. */
public fun markSuspect(state: Fleet, host: HostId, now: Moment): Fleet =
    state.copy(suspects = state.suspects.put(host, now + state.times.suspicionTimeout))
