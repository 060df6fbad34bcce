package figdeck.traffic.command

import figdeck.daemon.command.serving.ACQUIRE_PATH
import figdeck.daemon.command.serving.CONFIRM_PATH
import figdeck.daemon.command.serving.RELAY_PATH
import figdeck.daemon.command.serving.RELEASE_PATH
import figdeck.daemon.command.serving.REVOKE_PATH
import figdeck.daemon.command.serving.SlotClient
import figdeck.daemon.command.serving.SlotOwner
import figdeck.daemon.command.serving.TAKE_PATH
import figdeck.daemon.command.serving.TeamLimits
import figdeck.daemon.command.serving.VIEW_PATH
import figdeck.http.server.HttpHandler
import figdeck.model.serving.RelayAnswer
import figdeck.model.serving.RelayedSubmission
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.serving.StoreView
import figdeck.wire.serving.decodeHeldSlots
import figdeck.wire.serving.decodeRelayedSubmission
import figdeck.wire.serving.decodeRevocation
import figdeck.wire.serving.decodeSlotRelease
import figdeck.wire.serving.decodeSlotRequest
import figdeck.wire.serving.decodeTakeRequest
import figdeck.wire.serving.encodeRelayAnswer
import figdeck.wire.serving.encodeSlotResponse
import figdeck.wire.serving.encodeTakeResponse
import figdeck.wire.serving.encodeView

private const val EMPTY_REPLY = "{}"

/** The handlers of requests between daemons of the front end, by path. */
internal fun fleetServingHandlers(
    owner: SlotOwner,
    slots: SlotClient,
    limits: TeamLimits,
    view: () -> StoreView,
    acceptRelayed: suspend (RelayedSubmission) -> RelayAnswer,
): Map<String, HttpHandler> = mapOf(
    ACQUIRE_PATH to { call, responder ->
        call.readBody(::decodeSlotRequest)
            .fold({ responder.refuse(it) }, { responder.json(encodeSlotResponse(owner.acquire(it))) })
    },
    RELEASE_PATH to { call, responder ->
        call.readBody(::decodeSlotRelease).fold({ responder.refuse(it) }, {
            owner.release(it)
            responder.json(EMPTY_REPLY)
        })
    },
    CONFIRM_PATH to { call, responder ->
        call.readBody(::decodeHeldSlots).fold({ responder.refuse(it) }, {
            owner.confirm(it.from, it.slots, it.limits)
            responder.json(EMPTY_REPLY)
        })
    },
    REVOKE_PATH to { call, responder ->
        call.readBody(::decodeRevocation).fold({ responder.refuse(it) }, {
            slots.revoke(it)
            responder.json(EMPTY_REPLY)
        })
    },
    TAKE_PATH to { call, responder ->
        call.readBody(::decodeTakeRequest)
            .fold({ responder.refuse(it) }, { responder.json(encodeTakeResponse(limits.takeTokenForPeer(it))) })
    },
    VIEW_PATH to { _, responder -> responder.json(encodeView(view())) },
    RELAY_PATH to { call, responder ->
        call.readBody(::decodeRelayedSubmission)
            .fold({ responder.refuse(it) }, { responder.json(encodeRelayAnswer(acceptRelayed(it))) })
    },
)
