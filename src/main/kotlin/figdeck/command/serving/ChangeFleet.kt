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

/** How long an announced level tells anything: a bucket refills meanwhile. */
private val LEVEL_AGE = 10.seconds

/** A fleet of which only [self] is known. */
public fun loneFleet(self: FleetMember): Fleet = Fleet(
    self = self,
    times = MembershipTimings(),
    scan = null,
    renewedAt = null,
    levels = persistentMapOf(),
    suspects = persistentMapOf(),
)

/** Takes the list that the store gave. */
public fun observeScan(state: Fleet, scan: FleetScan): Fleet =
    state.copy(scan = scan, times = membershipTimings(scan.members.size), levels = latestLevels(state, scan))

private fun latestLevels(state: Fleet, scan: FleetScan): PersistentMap<TeamId, BucketLevel> {
    val recent = state.levels.filterValues { scan.storeMillis - it.announcedAtMillis < LEVEL_AGE.inWholeMilliseconds }
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

/** Notes a renewal that the store confirmed, with the times on [self] that it now shows. */
public fun confirmRenewal(state: Fleet, self: FleetMember, sentAt: Moment): Fleet =
    state.copy(self = self, renewedAt = sentAt)

/** Passes [host] over for a while: it didn't answer. */
public fun suspect(state: Fleet, host: HostId, now: Moment): Fleet =
    state.copy(suspects = state.suspects.put(host, now + state.times.suspicionTimeout))
