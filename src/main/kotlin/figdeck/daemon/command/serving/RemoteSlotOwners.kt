package figdeck.daemon.command.serving

import figdeck.command.serving.suspect
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.onFleet
import figdeck.log.PartLog
import figdeck.model.serving.FleetMember
import figdeck.model.serving.SlotAnswer
import figdeck.model.serving.SlotAsk
import figdeck.wire.serving.HeldSlots
import figdeck.wire.serving.SlotRelease

private val log = PartLog("slots")

/** Calls of the other hosts that give out slots; one that doesn't answer is passed over for a while. */
internal class RemoteSlotOwners(
    private val control: Control<ServingState>,
    private val peers: FleetPeers,
) {
    /** Asks [owner] for a slot; null when it gave no answer in time. */
    suspend fun acquire(owner: FleetMember, ask: SlotAsk): SlotAnswer? {
        val answer = peers.acquire(owner.address, ask)
        if (answer == null) {
            suspectOwner(owner, "gave no slot of pool ${ask.pool} in time")
        }
        return answer
    }

    /** Tells [owner] of all slots that are held here. */
    suspend fun confirm(owner: FleetMember, held: HeldSlots) {
        if (!peers.confirm(owner.address, held)) {
            suspectOwner(owner, "did not confirm slots in time")
        }
    }

    /** Gives a slot back to [owner], which takes it back by itself when it isn't told. */
    suspend fun release(owner: FleetMember, release: SlotRelease) {
        if (!peers.release(owner.address, release)) {
            log.debug { "host ${owner.host} was not told of the end of slot ${release.ticket}" }
        }
    }

    private suspend fun suspectOwner(owner: FleetMember, reason: String) {
        log.warn { "host ${owner.host} at ${owner.address} $reason: passed over" }
        control.run { state, now -> onFleet(state) { suspect(it, owner.host, now) } }
    }
}
