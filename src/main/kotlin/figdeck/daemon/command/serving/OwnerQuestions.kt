package figdeck.daemon.command.serving

import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.model.Clock
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.serving.FleetMember
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.query.serving.ranked
import kotlin.time.Duration.Companion.milliseconds

private val NO_OWNER_PAUSE = 200.milliseconds

/** How many owners are asked before this host chooses an upstream by itself. */
private const val MAX_OWNERS = 2

/** Questions for slots, to whoever gives them out at the moment. */
internal class OwnerQuestions(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val own: SlotOwner,
    private val owners: SlotOwnerCalls,
) {
    private val self: HostId get() = control.snapshot.fleet.self.host

    /** The answer to [ask], and the owner that gave it; null for this host. */
    suspend fun ask(ask: SlotRequest): Pair<SlotResponse, FleetMember?> = when (ask.lane) {
        Lane.ONLINE -> askInTurn(ask)
        Lane.BATCH -> askBatchOwner(ask)
    }

    /** A caller waits, so that the next host is asked at once, and this host decides by itself in the end. */
    private suspend fun askInTurn(ask: SlotRequest): Pair<SlotResponse, FleetMember?> {
        val ranked = control.snapshot.fleet.ranked(slotKey(ask.pool), clock()).take(MAX_OWNERS)
        return ranked.takeWhile { it.host != self }
            .firstNotNullOfOrNull { owner -> owners.ask(owner, ask)?.let { it to owner } }
            ?: (own.acquire(ask) to null)
    }

    /** Two owners at once would fill the upstreams twice with work that lasts, so batch work waits for the first. */
    private suspend fun askBatchOwner(ask: SlotRequest): Pair<SlotResponse, FleetMember?> {
        val owner = control.snapshot.fleet.batchOwner(ask.pool, clock())
        return when {
            owner == null -> SlotResponse.Full(NO_OWNER_PAUSE) to null
            owner.host == self -> own.acquire(ask) to null
            else -> (owners.ask(owner, ask) ?: SlotResponse.Full(NO_OWNER_PAUSE)) to owner
        }
    }
}
