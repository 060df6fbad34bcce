package figdeck.daemon.command.serving

import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.model.Clock
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.serving.FleetMember
import figdeck.model.serving.SlotAnswer
import figdeck.model.serving.SlotAsk
import figdeck.query.serving.ranked
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

    /** Returns the answer to [ask] and the owner that gave it; null stands for this host. */
    suspend fun request(ask: SlotAsk): Pair<SlotAnswer, FleetMember?> = when (ask.lane) {
        Lane.ONLINE -> requestOnlineSlot(ask)
        Lane.BATCH -> requestBatchSlot(ask)
    }

    /** Because a caller waits, the next owner is asked without delay, and this host decides itself if none answers. */
    private suspend fun requestOnlineSlot(ask: SlotAsk): Pair<SlotAnswer, FleetMember?> {
        val ranked = control.snapshot.fleet.ranked(slotKey(ask.pool), clock()).take(MAX_OWNERS)
        return ranked.takeWhile { it.host != self }
            .firstNotNullOfOrNull { owner -> remoteOwners.acquire(owner, ask)?.let { it to owner } }
            ?: (localOwner.acquire(ask) to null)
    }

    /** Two owners at once would fill the upstreams twice with long work, so batch work asks the settled owner only. */
    private suspend fun requestBatchSlot(ask: SlotAsk): Pair<SlotAnswer, FleetMember?> {
        val owner = control.snapshot.fleet.batchOwner(ask.pool, clock())
        return when {
            owner == null -> SlotAnswer.Full(NO_OWNER_RETRY_AFTER) to null
            owner.host == self -> localOwner.acquire(ask) to null
            else -> (remoteOwners.acquire(owner, ask) ?: SlotAnswer.Full(NO_OWNER_RETRY_AFTER)) to owner
        }
    }
}
