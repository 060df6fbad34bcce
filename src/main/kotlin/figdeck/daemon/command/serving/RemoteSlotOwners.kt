package figdeck.daemon.command.serving

import figdeck.command.serving.markSuspect
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updateFleet
import figdeck.log.PartLog
import figdeck.model.serving.FleetMember
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.wire.serving.HeldSlots
import figdeck.wire.serving.SlotRelease

private val log = PartLog("slots")

/** Sends requests to other hosts that own slots. A host that doesn't answer is marked as suspect for some time. */
internal class RemoteSlotOwners(
    private val control: Control<ServingState>,
    private val peers: FleetPeers,
) {
    /** Requests a slot from [owner]. Returns null if it did not answer in time. */
    suspend fun acquire(owner: FleetMember, request: SlotRequest): SlotResponse? {
        val answer = peers.acquire(owner.address, request)
        if (answer == null) {
            suspectOwner(owner, "did not answer a slot request for pool ${request.pool} in time")
        }
        return answer
    }

    /** Sends [owner] the list of all slots that this host holds there. */
    suspend fun confirm(owner: FleetMember, held: HeldSlots) {
        if (!peers.confirm(owner.address, held)) {
            suspectOwner(owner, "did not confirm slots in time")
        }
    }

    /** Returns a slot to [owner]. If the message is lost, the owner frees the slot when confirmations stop. */
    suspend fun release(owner: FleetMember, release: SlotRelease) {
        if (!peers.release(owner.address, release)) {
            log.debug { "host ${owner.host} did not acknowledge the release of slot ${release.ticket}" }
        }
    }

    private suspend fun suspectOwner(owner: FleetMember, reason: String) {
        log.warn { "host ${owner.host} at ${owner.address} $reason: passed over" }
        control.run { state, now -> updateFleet(state) { markSuspect(it, owner.host, now) } }
    }
}
