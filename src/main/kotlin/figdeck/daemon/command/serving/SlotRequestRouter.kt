package figdeck.daemon.command.serving

import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.onlineOwners
import figdeck.model.Clock
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.serving.FleetMember
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import kotlin.time.Duration.Companion.milliseconds

private val NO_OWNER_RETRY_AFTER = 200.milliseconds

/** How many owners are asked before this host assigns an upstream itself. */
private const val MAX_OWNERS = 2

/** Sends requests for slots to the current owner of the pool, which may be this host. */
internal class SlotRequestRouter(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val localOwner: SlotOwner,
    private val remoteOwners: RemoteSlotOwners,
) {
    private val self: HostId get() = control.snapshot.fleet.self.host

    /** Returns the answer to [request] and the owner that gave it; null stands for this host. */
    suspend fun acquire(request: SlotRequest): Pair<SlotResponse, FleetMember?> = when (request.lane) {
        Lane.ONLINE -> requestOnlineSlot(request)
        Lane.BATCH -> requestBatchSlot(request)
    }

    /** Because a caller waits, the next owner is asked without delay, and this host decides itself if none answers. */
    private suspend fun requestOnlineSlot(request: SlotRequest): Pair<SlotResponse, FleetMember?> {
        val owners = control.snapshot.onlineOwners(request.pool, clock()).take(MAX_OWNERS)
        return owners.takeWhile { it.host != self }
            .firstNotNullOfOrNull { owner -> remoteOwners.acquire(owner, request)?.let { it to owner } }
            ?: (localOwner.acquire(request) to null)
    }

    /** Two owners at once would fill the upstreams twice with long work, so batch work asks the settled owner only. */
    private suspend fun requestBatchSlot(request: SlotRequest): Pair<SlotResponse, FleetMember?> {
        val owner = control.snapshot.fleet.batchOwner(request.pool, clock())
        return when {
            owner == null -> SlotResponse.Full(NO_OWNER_RETRY_AFTER) to null
            owner.host == self -> localOwner.acquire(request) to null
            else -> (remoteOwners.acquire(owner, request) ?: SlotResponse.Full(NO_OWNER_RETRY_AFTER)) to owner
        }
    }
}
