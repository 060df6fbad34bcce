package figdeck.traffic.command

import arrow.core.getOrElse
import figdeck.control.applyChanges
import figdeck.control.peerView
import figdeck.daemon.query.ConfigurationFollower
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.parameter
import figdeck.model.Revision
import figdeck.traffic.json
import figdeck.wire.command.decodeChanges
import figdeck.wire.query.encodePeerView

private const val MAX_PUSH_BYTES = 32 * 1024 * 1024

/** Handles a query or push of a peer: applies the pushed changes and responds with the view of this daemon. */
internal fun peerConfigurationHandler(follower: ConfigurationFollower): HttpHandler = { call, responder ->
    if (call.method == "POST") {
        follower.applyPush(call)
    }
    val since = Revision(call.parameter("revision")?.toLongOrNull()?.coerceAtLeast(0) ?: Long.MAX_VALUE)
    responder.json(encodePeerView(peerView(follower.control.snapshot, since, follower.clock())))
}

/** Applies the pushed changes. If earlier changes are missing, triggers a poll of the table, which reads them. */
private suspend fun ConfigurationFollower.applyPush(call: HttpCall) {
    val body = call.body.readAll(MAX_PUSH_BYTES).getOrElse { ByteArray(0) }
    val changes = decodeChanges(body.decodeToString())
    val appliedRevision = control.run { state, _ -> applyChanges(state, changes) }
    if (changes.any { it.revision > appliedRevision }) {
        pollTriggers.trySend(Unit)
    }
}
