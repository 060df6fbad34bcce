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
 * What operators' changes need.
 *
 * @property spread tells the other daemons of an accepted change.
 * @property newChangeId names a change whose sender gave it no id.
 */
internal data class Changing(
    val store: ConfigurationStore,
    val spread: suspend (ConfigurationChange) -> Propagation,
    val newChangeId: () -> ChangeId,
)

/** Reads an edit from a call, or tells what is wrong with it. */
internal typealias EditReader = suspend (HttpCall) -> Either<List<Fault>, TemplateEdit>

/** Handles a call that changes the configuration by the edit that [read] finds in it. */
internal fun Changing.changeHandler(read: EditReader): HttpHandler = { call, responder ->
    accept(call, read).fold(
        { responder.json(encodeChangeFailure(it), it.status) },
        { change ->
            val spread = spread(change)
            responder.json(encodeChangeReply(change, spread))
            store.writeSnapshotIfDue()
        },
    )
}

/** Handles `POST /v1/templates/{name}/check`: tells every fault and applies nothing. */
internal fun Changing.checkHandler(): HttpHandler = { call, responder ->
    val checked = readTemplate(call).mapLeft<ChangeFailure> { ChangeFailure.Faulty(it) }.flatMap { edit ->
        store.control.run { state, _ -> Step(state, decideEdit(state.configuration, edit, null)) }
            .mapLeft { it.toFailure() }
    }
    checked.fold(
        { responder.json(encodeChangeFailure(it), it.status) },
        { responder.json("""{"faults":[],"revision":${store.control.snapshot.configuration.revision}}""") },
    )
}

/** Reads the template in the body, which must bear the name at the end of the path. */
internal fun readNamedTemplate(prefix: String): EditReader = { call ->
    val name = call.path.removePrefix(prefix)
    readTemplate(call).flatMap { edit ->
        val named = (edit as? TemplateEdit.Apply)?.template?.name?.value
        if (named == name) edit.right() else listOf(Fault("name", "the path says '$name': use one name")).left()
    }
}

/** Reads the template in the body. */
internal val readTemplate: EditReader = { call ->
    call.body.readAll(MAX_TEMPLATE_BYTES)
        .mapLeft { listOf(Fault("", "the template is too large: send at most ${it.limitBytes} bytes")) }
        .flatMap { decodeTemplate(it.decodeToString()) }
        .map { TemplateEdit.Apply(it) }
}

/** Reads the name of the template to remove from the path below [prefix]. */
internal fun readRemoval(prefix: String): EditReader = { call ->
    checked { attempt("name") { TemplateEdit.Remove(TemplateName(call.path.removePrefix(prefix))) } }
}

/** Reads the key to grant. */
internal val readGrant: EditReader = { call ->
    call.body.readAll(MAX_TEMPLATE_BYTES)
        .mapLeft { listOf(Fault("", "the grant is too large: send at most ${it.limitBytes} bytes")) }
        .flatMap { decodeKeyGrant(it.decodeToString()) }
}

/** Reads the key to withdraw from the path below [prefix], and its team where one is named. */
internal fun readWithdrawal(prefix: String): EditReader = { call ->
    checked {
        val key = attempt("key") { KeyId(call.path.removePrefix(prefix)) }
        val team = call.parameter("team")?.let { attempt("team") { TeamId(it) } }
        key?.let { TemplateEdit.WithdrawKey(it, team) }
    }
}

private suspend fun Changing.accept(
    call: HttpCall,
    read: EditReader,
): Either<ChangeFailure, ConfigurationChange> = either {
    val edit = read(call).mapLeft { ChangeFailure.Faulty(it) }.bind()
    val request = readRequest(call, edit).mapLeft { ChangeFailure.Faulty(it) }.bind()
    store.change(request).bind()
}

private fun Changing.readRequest(call: HttpCall, edit: TemplateEdit): Either<List<Fault>, ChangeRequest> {
    val faults = FaultCollector("")
    val id = call.parameter("change")?.let { faults.attempt("change") { ChangeId(it) } } ?: newChangeId()
    val operator = faults.attempt("operator") { OperatorName(call.parameter("operator") ?: UNNAMED_OPERATOR) }
    val expected = call.parameter("expected")?.let { text -> faults.attempt("expected") { parseRevision(text) } }
    return faults.result { operator?.let { ChangeRequest(id, it, expected, edit) } }
}

private fun parseRevision(text: String): Revision =
    Revision(requireNotNull(text.toLongOrNull()) { "'$text' is no revision: use a whole number" })

private fun <T : Any> checked(read: FaultCollector.() -> T?): Either<List<Fault>, T> {
    val faults = FaultCollector("")
    val value = faults.read()
    return faults.result { value }
}

private fun EditRefusal.toFailure(): ChangeFailure = when (this) {
    is EditRefusal.Faulty -> ChangeFailure.Faulty(faults)
    is EditRefusal.Conflict -> ChangeFailure.Conflict(present, emptyList())
}
