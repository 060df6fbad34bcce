package figdeck.traffic.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import figdeck.command.Step
import figdeck.command.template.EditRefusal
import figdeck.command.template.decideEdit
import figdeck.daemon.command.ChangeFailure
import figdeck.daemon.command.ChangeRequest
import figdeck.daemon.command.ConfigurationStore
import figdeck.daemon.command.Propagation
import figdeck.daemon.command.change
import figdeck.daemon.command.writeSnapshotIfDue
import figdeck.http.readAll
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.http.server.parameter
import figdeck.model.ChangeId
import figdeck.model.ConfigurationChange
import figdeck.model.Fault
import figdeck.model.FaultCollector
import figdeck.model.KeyId
import figdeck.model.OperatorName
import figdeck.model.Revision
import figdeck.model.TeamId
import figdeck.model.TemplateEdit
import figdeck.model.TemplateName
import figdeck.traffic.json
import figdeck.wire.command.decodeKeyGrant
import figdeck.wire.command.decodeTemplate
import figdeck.wire.command.encodeChangeFailure
import figdeck.wire.command.encodeChangeReply
import figdeck.wire.command.status

private const val MAX_TEMPLATE_BYTES = 16 * 1024 * 1024
private const val UNNAMED_OPERATOR = "unnamed"

/**
 * The dependencies of the handlers that change the configuration.
 *
 * @property propagate sends an accepted change to the other daemons.
 * @property newChangeId generates the id of a change that was sent without one.
 */
internal data class ChangeServices(
    val store: ConfigurationStore,
    val propagate: suspend (ConfigurationChange) -> Propagation,
    val newChangeId: () -> ChangeId,
)

/** Decodes an edit from a call, or returns the faults found in it. */
internal typealias EditReader = suspend (HttpCall) -> Either<List<Fault>, TemplateEdit>

/** Handles a call that changes the configuration. [read] decodes the edit from the call. */
internal fun ChangeServices.changeHandler(read: EditReader): HttpHandler = { call, responder ->
    applyEdit(call, read).fold(
        { responder.json(encodeChangeFailure(it), it.status) },
        { change ->
            val propagation = propagate(change)
            responder.json(encodeChangeReply(change, propagation))
            store.writeSnapshotIfDue()
        },
    )
}

/** Handles `POST /v1/templates/check`: reports all faults of the template without applying it. */
internal fun ChangeServices.checkHandler(): HttpHandler = { call, responder ->
    val result = readTemplate(call).mapLeft<ChangeFailure> { ChangeFailure.Faulty(it) }.flatMap { edit ->
        store.control.run { state, _ -> Step(state, decideEdit(state.configuration, edit, null)) }
            .mapLeft { it.toFailure() }
    }
    result.fold(
        { responder.json(encodeChangeFailure(it), it.status) },
        { responder.json("""{"faults":[],"revision":${store.control.snapshot.configuration.revision}}""") },
    )
}

/** Decodes the template in the body. Its name must match the name in the path after [prefix]. */
internal fun readNamedTemplate(prefix: String): EditReader = { call ->
    val name = call.path.removePrefix(prefix)
    readTemplate(call).flatMap { edit ->
        val templateName = (edit as? TemplateEdit.Apply)?.template?.name?.value
        if (templateName == name) edit.right() else listOf(Fault("name", "the path says '$name': use one name")).left()
    }
}

/** Decodes the template in the body. */
internal val readTemplate: EditReader = { call ->
    call.body.readAll(MAX_TEMPLATE_BYTES)
        .mapLeft { listOf(Fault("", "the template is too large: send at most ${it.limitBytes} bytes")) }
        .flatMap { decodeTemplate(it.decodeToString()) }
        .map { TemplateEdit.Apply(it) }
}

/** Decodes the removal of the template that is named in the path after [prefix]. */
internal fun readRemoval(prefix: String): EditReader = { call ->
    collectFaults { attempt("name") { TemplateEdit.Remove(TemplateName(call.path.removePrefix(prefix))) } }
}

/** Decodes the key to grant from the body. */
internal val readGrant: EditReader = { call ->
    call.body.readAll(MAX_TEMPLATE_BYTES)
        .mapLeft { listOf(Fault("", "the grant is too large: send at most ${it.limitBytes} bytes")) }
        .flatMap { decodeKeyGrant(it.decodeToString()) }
}

/** Decodes the withdrawal of the key named in the path after [prefix], limited to `team` if that parameter is set. */
internal fun readWithdrawal(prefix: String): EditReader = { call ->
    collectFaults {
        val key = attempt("key") { KeyId(call.path.removePrefix(prefix)) }
        val team = call.parameter("team")?.let { attempt("team") { TeamId(it) } }
        key?.let { TemplateEdit.WithdrawKey(it, team) }
    }
}

private suspend fun ChangeServices.applyEdit(
    call: HttpCall,
    read: EditReader,
): Either<ChangeFailure, ConfigurationChange> = either {
    val edit = read(call).mapLeft { ChangeFailure.Faulty(it) }.bind()
    val request = readRequest(call, edit).mapLeft { ChangeFailure.Faulty(it) }.bind()
    store.change(request).bind()
}

private fun ChangeServices.readRequest(call: HttpCall, edit: TemplateEdit): Either<List<Fault>, ChangeRequest> {
    val faults = FaultCollector("")
    val id = call.parameter("change")?.let { faults.attempt("change") { ChangeId(it) } } ?: newChangeId()
    val operator = faults.attempt("operator") { OperatorName(call.parameter("operator") ?: UNNAMED_OPERATOR) }
    val expected = call.parameter("expected")?.let { text -> faults.attempt("expected") { parseRevision(text) } }
    return faults.result { operator?.let { ChangeRequest(id, it, expected, edit) } }
}

private fun parseRevision(text: String): Revision =
    Revision(requireNotNull(text.toLongOrNull()) { "'$text' is no revision: use a whole number" })

private fun <T : Any> collectFaults(read: FaultCollector.() -> T?): Either<List<Fault>, T> {
    val faults = FaultCollector("")
    val value = faults.read()
    return faults.result { value }
}

private fun EditRefusal.toFailure(): ChangeFailure = when (this) {
    is EditRefusal.Faulty -> ChangeFailure.Faulty(faults)
    is EditRefusal.Conflict -> ChangeFailure.Conflict(present, emptyList())
}
