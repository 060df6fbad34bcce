package figdeck.traffic.query

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.daemon.query.isCurrent
import figdeck.daemon.query.readChanges
import figdeck.http.server.HttpHandler
import figdeck.http.server.parameter
import figdeck.model.CallResult
import figdeck.model.Clock
import figdeck.model.Refusal
import figdeck.model.Revision
import figdeck.store.query.StoreQueries
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.command.encodeTemplate
import figdeck.wire.query.StatusDto
import figdeck.wire.query.encodeHistory
import figdeck.wire.query.encodeKeyList
import figdeck.wire.query.encodeStatus
import figdeck.wire.query.encodeTemplateList
import kotlin.time.Duration.Companion.seconds

/** Handles `GET /v1/templates`. */
internal fun templateListHandler(control: Control<ControlState>): HttpHandler = { _, responder ->
    responder.json(encodeTemplateList(control.snapshot.configuration))
}

/** Handles `GET /v1/templates/{name}`, where [prefix] is the path before the name. */
internal fun templateHandler(control: Control<ControlState>, prefix: String): HttpHandler = { call, responder ->
    val name = call.path.removePrefix(prefix)
    val template = control.snapshot.configuration.templates.values.find { it.name.value == name }
    if (template == null) {
        responder.refuse(Refusal.NotFound("template '$name'"))
    } else {
        responder.json(encodeTemplate(template))
    }
}

/** Handles `GET /v1/keys`. */
internal fun keyListHandler(control: Control<ControlState>): HttpHandler = { _, responder ->
    responder.json(encodeKeyList(control.snapshot.configuration))
}

/** Handles `GET /v1/changes?after=N`: returns a page of the changes after revision N, oldest first. */
internal fun historyHandler(queries: StoreQueries): HttpHandler = { call, responder ->
    val after = Revision(call.parameter("after")?.toLongOrNull()?.coerceAtLeast(0) ?: 0)
    when (val changes = queries.readChanges(after)) {
        is CallResult.Done -> responder.json(encodeHistory(changes.value))
        is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown ->
            responder.refuse(Refusal.StoreUnavailable(1.seconds))
    }
}

/** Handles `GET /v1/status`. */
internal fun statusHandler(control: Control<ControlState>, clock: Clock): HttpHandler = { _, responder ->
    val state = control.snapshot
    val now = clock()
    val status = StatusDto(
        host = state.host.value,
        revision = state.configuration.revision.value,
        current = state.isCurrent(now),
        confirmedMillisAgo = state.confirmedAt?.let { (now - it).inWholeMilliseconds },
        tableInDoubt = state.follow.tableInDoubt,
        draining = state.draining,
        leaving = state.follow.leaving.map { it.value },
    )
    responder.json(encodeStatus(status))
}
