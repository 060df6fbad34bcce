package figdeck.wire.command

import figdeck.daemon.command.ChangeFailure
import figdeck.daemon.command.Propagation
import figdeck.model.ConfigurationChange
import figdeck.model.Fault
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

private const val CONFLICT = 409
private const val UNPROCESSABLE = 422
private const val SERVICE_UNAVAILABLE = 503

/**
 * The response to an accepted change.
 *
 * @property hosts the number of known hosts.
 * @property missing the hosts that have not confirmed that the change is in force.
 */
@Serializable
internal data class ChangeReplyDto(
    val revision: Long,
    val change: String,
    val summary: String,
    val hosts: Int,
    val missing: List<String> = emptyList(),
)

/** A change in the history that operators read. */
@Serializable
internal data class HistoryEntryDto(
    val revision: Long,
    val change: String,
    val operator: String,
    val atMillis: Long,
    val summary: String,
)

@Serializable
internal data class FaultDto(
    val path: String,
    val message: String,
)

@Serializable
internal data class ChangeErrorDto(
    val type: String,
    val message: String,
    val ran: String,
    val faults: List<FaultDto>? = null,
    val present: Long? = null,
    val changes: List<HistoryEntryDto>? = null,
    val change: String? = null,
)

@Serializable
internal data class ChangeRefusalDto(val error: ChangeErrorDto)

internal fun encodeChangeReply(change: ConfigurationChange, propagation: Propagation): String {
    val dto = ChangeReplyDto(
        revision = change.revision.value,
        change = change.id.value,
        summary = change.summary,
        hosts = propagation.hosts,
        missing = propagation.missing.map { it.value },
    )
    return lenientJson.encodeToString(ChangeReplyDto.serializer(), dto)
}

internal fun ConfigurationChange.toHistoryEntry() =
    HistoryEntryDto(revision.value, id.value, operator.value, atMillis, summary)

internal fun encodeChangeFailure(failure: ChangeFailure): String =
    lenientJson.encodeToString(ChangeRefusalDto.serializer(), ChangeRefusalDto(failure.toDto()))

internal fun decodeChangeReply(text: String): ChangeReplyDto =
    lenientJson.decodeFromString(ChangeReplyDto.serializer(), text)

/** Returns the error in a daemon's refusal, or null if [text] is not a refusal. */
internal fun decodeChangeRefusal(text: String): ChangeErrorDto? =
    lenientJson.decode(ChangeRefusalDto.serializer(), text).getOrNull()?.error

/** The HTTP status of a change that was not accepted. */
internal val ChangeFailure.status: Int
    get() = when (this) {
        is ChangeFailure.Faulty -> UNPROCESSABLE
        is ChangeFailure.Conflict -> CONFLICT
        ChangeFailure.Unavailable, is ChangeFailure.Unsettled -> SERVICE_UNAVAILABLE
    }

private fun ChangeFailure.toDto(): ChangeErrorDto = when (this) {
    is ChangeFailure.Faulty -> ChangeErrorDto(
        type = "bad_configuration",
        message = "nothing was applied: mend every fault listed and send it again",
        ran = "no",
        faults = faults.map(Fault::toDto),
    )
    is ChangeFailure.Conflict -> ChangeErrorDto(
        type = "conflict",
        message = "nothing was applied: the configuration is at revision $present; look at the changes and try again",
        ran = "no",
        present = present.value,
        changes = since.map { it.toHistoryEntry() },
    )
    ChangeFailure.Unavailable -> ChangeErrorDto(
        type = "store_unavailable",
        message = "nothing was applied: the platform's table can't be reached; try again later",
        ran = "no",
    )
    is ChangeFailure.Unsettled -> ChangeErrorDto(
        type = "unsettled",
        message = "the change may be in force or not: look for $id in 'figdeck template history' later",
        ran = "unknown",
        change = id.value,
    )
}

private fun Fault.toDto() = FaultDto(path, message)
