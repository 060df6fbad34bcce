package figdeck.daemon.command

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.command.Step
import figdeck.command.template.EditRefusal
import figdeck.command.template.decideEdit
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.applyChanges
import figdeck.daemon.query.HEAD_KEY
import figdeck.daemon.query.StoredHead
import figdeck.daemon.query.catchUp
import figdeck.daemon.query.changeKey
import figdeck.daemon.query.readChanges
import figdeck.model.CallResult
import figdeck.model.ChangeId
import figdeck.model.Clock
import figdeck.model.ConfigurationChange
import figdeck.model.Fault
import figdeck.model.OperatorName
import figdeck.model.Revision
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.TemplateEdit
import figdeck.model.TemplatePatch
import figdeck.store.Store
import figdeck.wire.command.encodeChange
import figdeck.wire.command.encodeConfigurationHead

private const val MAX_CONFLICTS = 32

/** An edit sent by an operator. [expected] is the revision that the edit is based on, or null if none was given. */
internal data class ChangeRequest(
    val id: ChangeId,
    val operator: OperatorName,
    val expected: Revision?,
    val edit: TemplateEdit,
)

/** The reason why a change was not accepted, or why its outcome is unknown. */
internal sealed interface ChangeFailure {
    /** The edit is invalid; nothing was applied. */
    data class Faulty(val faults: List<Fault>) : ChangeFailure

    /** The configuration was changed concurrently; nothing was applied. [since] lists the changes since. */
    data class Conflict(val present: Revision, val since: List<ConfigurationChange>) : ChangeFailure

    /** The platform's table is unreachable; nothing was applied. */
    data object Unavailable : ChangeFailure

    /** The change [id] was sent to the table, but no reply confirmed the outcome; it may be in force. */
    data class Unsettled(val id: ChangeId) : ChangeFailure
}

/** The dependencies for changing the configuration. */
internal data class ConfigurationStore(
    val platform: Store,
    val control: Control<ControlState>,
    val clock: Clock,
)

private data class DecidedEdit(
    val at: Revision,
    val patch: Either<EditRefusal, TemplatePatch>,
)

/**
 * Applies [request] by compare-and-set on the head row. If the reply of the table is lost, finds out whether the change
 * was committed before it returns.
 */
internal suspend fun ConfigurationStore.change(request: ChangeRequest): Either<ChangeFailure, ConfigurationChange> =
    either {
        var accepted: ConfigurationChange? = null
        var conflicts = 0
        while (accepted == null) {
            ensure(conflicts < MAX_CONFLICTS) { ChangeFailure.Unavailable }
            accepted = attempt(this@change, request)
            conflicts++
        }
        accepted
    }

/** Returns the accepted change, or null if another change was committed first and the edit can be retried. */
private suspend fun Raise<ChangeFailure>.attempt(
    store: ConfigurationStore,
    request: ChangeRequest,
): ConfigurationChange? {
    val stored = (catchUp(store.platform.queries, store.control, store.clock) as? CallResult.Done)?.value
    ensure(stored != null) { ChangeFailure.Unavailable }
    ensure(store.control.snapshot.configuration.revision >= stored.head.revision) { ChangeFailure.Unavailable }
    val earlier = store.control.snapshot.follow.recent.find { it.id == request.id }
    return earlier ?: decideAndSettle(store, request, stored)
}

private suspend fun Raise<ChangeFailure>.decideAndSettle(
    store: ConfigurationStore,
    request: ChangeRequest,
    stored: StoredHead,
): ConfigurationChange? {
    val (decidedAt, decided) = store.control.run { state, _ ->
        val patch = decideEdit(state.configuration, request.edit, request.expected)
        Step(state, DecidedEdit(state.configuration.revision, patch))
    }
    val patch = decided.mapLeft { explain(store, it, request) }.bind()
    // If this host has applied another change since it read the head, the edit has to be decided again.
    return if (decidedAt == stored.head.revision) commitEdit(store, request, stored, patch) else null
}

private suspend fun Raise<ChangeFailure>.commitEdit(
    store: ConfigurationStore,
    request: ChangeRequest,
    stored: StoredHead,
    patch: TemplatePatch,
): ConfigurationChange? {
    val change = request.toChange(stored.head.revision.next(), store.clock().epochMillis, patch)
    val outcome = commitUntilDecided(store, change, transaction(stored, change))
    if (outcome == ChangeOutcome.ACCEPTED) {
        store.control.run { state, _ -> applyChanges(state, listOf(change)) }
    }
    return change.takeIf { outcome == ChangeOutcome.ACCEPTED }
}

private fun ChangeRequest.toChange(revision: Revision, atMillis: Long, patch: TemplatePatch) =
    ConfigurationChange(id, revision, operator, atMillis, summarize(edit), patch)

private fun transaction(stored: StoredHead, change: ConfigurationChange): TableTransaction {
    val head = stored.head.copy(revision = change.revision)
    return TableTransaction(
        checks = listOf(RowCheck(HEAD_KEY, stored.version)),
        writes = listOf(
            RowWrite(HEAD_KEY, encodeConfigurationHead(head)),
            RowWrite(changeKey(change.revision), encodeChange(change)),
        ),
    )
}

private suspend fun explain(store: ConfigurationStore, refusal: EditRefusal, request: ChangeRequest): ChangeFailure =
    when (refusal) {
        is EditRefusal.Faulty -> ChangeFailure.Faulty(refusal.faults)
        is EditRefusal.Conflict -> {
            val since = request.expected?.let { store.platform.queries.readChanges(it) } as? CallResult.Done
            ChangeFailure.Conflict(refusal.present, since?.value.orEmpty())
        }
    }

private fun summarize(edit: TemplateEdit): String = when (edit) {
    is TemplateEdit.Apply -> "applied template ${edit.template.name}"
    is TemplateEdit.Remove -> "removed template ${edit.name}"
    is TemplateEdit.GrantKey -> "granted key ${edit.key.id} to team ${edit.team}"
    is TemplateEdit.WithdrawKey -> "withdrew key ${edit.key}" + edit.team?.let { " of team $it" }.orEmpty()
}
