package figdeck.command.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.FleetTimes
import figdeck.model.serving.fleetTimes
import kotlinx.collections.immutable.persistentMapOf

/** A fleet of which only [self] is known. */
public fun loneFleet(self: FleetMember): Fleet = Fleet(self, FleetTimes(), null, null, persistentMapOf())

/** Takes the list that the store gave. */
public fun observeScan(state: Fleet, scan: FleetScan): Fleet =
    state.copy(scan = scan, times = fleetTimes(scan.members.size))

/** Notes a renewal that the store confirmed, with the times on [self] that it now shows. */
public fun confirmRenewal(state: Fleet, self: FleetMember, sentAt: Moment): Fleet =
    state.copy(self = self, renewedAt = sentAt)

/** Passes [host] over for a while: it didn't answer. */
public fun suspect(state: Fleet, host: HostId, now: Moment): Fleet =
    state.copy(suspects = state.suspects.put(host, now + state.times.suspicion))
