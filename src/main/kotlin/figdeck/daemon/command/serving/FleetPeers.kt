package figdeck.daemon.command.serving

import figdeck.command.serving.TakeRequest
import figdeck.command.serving.TakeResponse
import figdeck.daemon.command.PeerClient
import figdeck.model.Address
import figdeck.model.serving.RelayAnswer
import figdeck.model.serving.RelayedSubmission
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.wire.serving.HeldSlots
import figdeck.wire.serving.SlotRelease
import figdeck.wire.serving.StoreView
import figdeck.wire.serving.decodeRelayAnswer
import figdeck.wire.serving.decodeSlotResponse
import figdeck.wire.serving.decodeTakeResponse
import figdeck.wire.serving.decodeView
import figdeck.wire.serving.encodeHeldSlots
import figdeck.wire.serving.encodeRelayedSubmission
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
internal const val RELAY_PATH = "/peer/jobs/relay"

/** Allows several round trips between data centres. */
private val CALL_TIMEOUT = 150.milliseconds
private val TAKE_TIMEOUT = 80.milliseconds

/** A host that stores a job repeats a failed write for 300 ms, and the last write takes up to 1 s. */
private val RELAY_TIMEOUT = 1_500.milliseconds

/**
 * The requests between daemons of the front end. A function returns null or false if the peer gave no valid response in
 * time.
 *
 * @property acquire requests a slot from the owner of a pool.
 * @property release returns a slot to its owner.
 * @property confirm sends an owner the list of all slots that this host holds.
 * @property revoke asks a holder to return slots immediately.
 * @property takeToken requests a token from the owner of a team's bucket.
 * @property view requests a host's view of the store.
 * @property relayJob asks a host to store a batch job.
 */
internal data class FleetPeers(
    val acquire: suspend (Address, SlotRequest) -> SlotResponse?,
    val release: suspend (Address, SlotRelease) -> Boolean,
    val confirm: suspend (Address, HeldSlots) -> Boolean,
    val revoke: suspend (Address, List<Long>) -> Boolean,
    val takeToken: suspend (Address, TakeRequest) -> TakeResponse?,
    val view: suspend (Address) -> StoreView?,
    val relayJob: suspend (Address, RelayedSubmission) -> RelayAnswer? = { _, _ -> null },
)

/** Returns [FleetPeers] that send JSON over HTTP. */
internal fun httpFleetPeers(calls: PeerClient): FleetPeers = FleetPeers(
    acquire = { owner, request ->
        calls.call(owner, ACQUIRE_PATH, encodeSlotRequest(request), request.timeout)
            ?.let { decodeSlotResponse(it).getOrNull() }
    },
    release = { owner, release -> calls.call(owner, RELEASE_PATH, encodeSlotRelease(release), CALL_TIMEOUT) != null },
    confirm = { owner, held -> calls.call(owner, CONFIRM_PATH, encodeHeldSlots(held), CALL_TIMEOUT) != null },
    revoke = { holder, tickets -> calls.call(holder, REVOKE_PATH, encodeRevocation(tickets), CALL_TIMEOUT) != null },
    takeToken = { owner, request ->
        calls.call(
            owner,
            TAKE_PATH,
            encodeTakeRequest(request),
            TAKE_TIMEOUT
        )?.let { decodeTakeResponse(it).getOrNull() }
    },
    view = { host -> calls.call(host, VIEW_PATH, "", CALL_TIMEOUT)?.let { decodeView(it).getOrNull() } },
    relayJob = { host, job ->
        calls.call(host, RELAY_PATH, encodeRelayedSubmission(job), RELAY_TIMEOUT)
            ?.let { decodeRelayAnswer(it).getOrNull() }
    },
)
