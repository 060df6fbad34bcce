package figdeck.traffic.query

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.isReady
import figdeck.http.server.HttpHandler
import figdeck.model.Clock
import figdeck.traffic.json

private const val STATUS_READY = 200
private const val STATUS_NOT_READY = 503

/** Handles `GET /v1/health`, which tells the load balancer whether this host can accept work. */
internal fun healthHandler(control: Control<ControlState>, clock: Clock): HttpHandler = { _, responder ->
    val ready = control.snapshot.isReady(clock())
    responder.json("""{"ready":$ready}""", if (ready) STATUS_READY else STATUS_NOT_READY)
}
