package figdeck.daemon.command.serving

import figdeck.command.serving.TakeRequest
import figdeck.command.serving.TakeResponse
import figdeck.daemon.command.PeerCalls
import figdeck.model.Address
import figdeck.model.serving.SlotAnswer
import figdeck.model.serving.SlotAsk
import figdeck.wire.serving.HeldSlots
import figdeck.wire.serving.SlotRelease
import figdeck.wire.serving.StoreView
import figdeck.wire.serving.decodeSlotResponse
import figdeck.wire.serving.decodeTakeResponse
import figdeck.wire.serving.decodeView
import figdeck.wire.serving.encodeHeldSlots
import figdeck.wire.serving.encodeRevocation
import figdeck.wire.serving.encodeSlotRelease
import figdeck.wire.serving.encodeSlotRequest
import figdeck.wire.serving.encodeTakeRequest
import kotlin.time.Duration.Companion.milliseconds

internal const val ACQUIRE_PATH = "/peer/slots/acquire"
internal const val RELEASE_PATH = "/peer/slots/release"
internal const val CONFIRM_PATH = "/peer/slots/confirm"
internal const val REVOKE_PATH = "/peer/slots/revoke"
internal const val TAKE_PATH = "/peer/limits/take"
internal const val VIEW_PATH = "/peer/view"

/** Several round trips between data centres. */
private val CALL_TIMEOUT = 150.milliseconds
private val TAKE_TIMEOUT = 80.milliseconds

/**
 * What daemons of the front end ask of each other; null or false where the other gave no proper answer in time.
 *
 * @property acquire asks the owner of a pool for a slot.
 * @property release gives a slot back.
 * @property confirm tells an owner of all slots that this host holds.
 * @property revoke asks a holder to give slots back at once.
 * @property take asks the owner of a team's bucket for a token.
 * @property view asks what a host knows of the store.
 */
internal data class FleetPeers(
    val acquire: suspend (Address, SlotAsk) -> SlotAnswer?,
    val release: suspend (Address, SlotRelease) -> Boolean,
    val confirm: suspend (Address, HeldSlots) -> Boolean,
    val revoke: suspend (Address, List<Long>) -> Boolean,
    val take: suspend (Address, TakeRequest) -> TakeResponse?,
    val view: suspend (Address) -> StoreView?,
)

/** Other daemons over HTTP with JSON. */
internal fun httpFleetPeers(calls: PeerCalls): FleetPeers = FleetPeers(
    acquire = { owner, ask ->
        calls.call(owner, ACQUIRE_PATH, encodeSlotRequest(ask), ask.timeout)?.let { decodeSlotResponse(it).getOrNull() }
    },
    release = { owner, release -> calls.call(owner, RELEASE_PATH, encodeSlotRelease(release), CALL_TIMEOUT) != null },
    confirm = { owner, held -> calls.call(owner, CONFIRM_PATH, encodeHeldSlots(held), CALL_TIMEOUT) != null },
    revoke = { holder, tickets -> calls.call(holder, REVOKE_PATH, encodeRevocation(tickets), CALL_TIMEOUT) != null },
    take = { owner, ask ->
        calls.call(owner, TAKE_PATH, encodeTakeRequest(ask), TAKE_TIMEOUT)?.let { decodeTakeResponse(it).getOrNull() }
    },
    view = { host -> calls.call(host, VIEW_PATH, "", CALL_TIMEOUT)?.let { decodeView(it).getOrNull() } },
)
