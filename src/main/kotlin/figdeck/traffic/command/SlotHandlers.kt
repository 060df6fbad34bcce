package figdeck.traffic.command

import figdeck.daemon.command.serving.ACQUIRE_PATH
import figdeck.daemon.command.serving.CONFIRM_PATH
import figdeck.daemon.command.serving.RELEASE_PATH
import figdeck.daemon.command.serving.REVOKE_PATH
import figdeck.daemon.command.serving.SlotClient
import figdeck.daemon.command.serving.SlotOwner
import figdeck.daemon.command.serving.TAKE_PATH
import figdeck.daemon.command.serving.TeamLimits
import figdeck.daemon.command.serving.VIEW_PATH
import figdeck.http.server.HttpHandler
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.serving.StoreView
import figdeck.wire.serving.decodeHeldSlots
import figdeck.wire.serving.decodeRevocation
import figdeck.wire.serving.decodeSlotRelease
import figdeck.wire.serving.decodeSlotRequest
import figdeck.wire.serving.decodeTakeRequest
import figdeck.wire.serving.encodeSlotResponse
import figdeck.wire.serving.encodeTakeResponse
import figdeck.wire.serving.encodeView

private const val DONE = "{}"

/** What daemons of the front end ask of each other, by path. */
internal fun fleetServingHandlers(
    owner: SlotOwner,
    slots: SlotClient,
    limits: TeamLimits,
    view: () -> StoreView,
): Map<String, HttpHandler> = mapOf(
    ACQUIRE_PATH to { call, responder ->
        call.read(::decodeSlotRequest)
            .fold({ responder.refuse(it) }, { responder.json(encodeSlotResponse(owner.acquire(it))) })
    },
    RELEASE_PATH to { call, responder ->
        call.read(::decodeSlotRelease).fold({ responder.refuse(it) }, {
            owner.release(it)
            responder.json(DONE)
        })
    },
    CONFIRM_PATH to { call, responder ->
        call.read(::decodeHeldSlots).fold({ responder.refuse(it) }, {
            owner.confirm(it.from, it.slots)
            responder.json(DONE)
        })
    },
    REVOKE_PATH to { call, responder ->
        call.read(::decodeRevocation).fold({ responder.refuse(it) }, {
            slots.revoke(it)
            responder.json(DONE)
        })
    },
    TAKE_PATH to { call, responder ->
        call.read(::decodeTakeRequest)
            .fold({ responder.refuse(it) }, { responder.json(encodeTakeResponse(limits.takeTokenForPeer(it))) })
    },
    VIEW_PATH to { _, responder -> responder.json(encodeView(view())) },
)
