package figdeck.daemon.command

import figdeck.command.journal.JournalEntry
import figdeck.model.ABSENT
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.IdempotencyKey
import figdeck.model.IdempotencyRecord
import figdeck.model.Intent
import figdeck.model.OpenRequest
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TeamId
import figdeck.model.hashKey
import figdeck.wire.encodeIdempotencyRecord
import figdeck.wire.encodeOpenRequest
import figdeck.wire.encodeRecord

/** The key prefix of the rows of all requests. Request ids increase with time. */
internal const val REQUEST_PREFIX = "request/"

internal fun requestKey(id: RequestId): String = "$REQUEST_PREFIX$id"

/** Returns the key prefix of the rows of requests that [host] accepted and that have not ended. */
internal fun openPrefix(host: HostId): String = "open/$host/"

internal fun openKey(host: HostId, id: RequestId): String = "${openPrefix(host)}$id"

/** Returns the key of the row for the idempotency key [resend] of [team]. */
internal fun idempotencyRowKey(team: TeamId, resend: IdempotencyKey): String = "idempotency/$team/${hashKey(
    resend.key
)}"

/** Returns the key of the row for the idempotency key of the record, or null if the record has none. */
internal fun RequestRecord.idempotencyRowKey(): String? {
    val owner = team ?: return null
    return idempotencyKey?.let { idempotencyRowKey(owner, it) }
}

internal fun acceptanceEntry(number: Long, record: RequestRecord): JournalEntry {
    val open = OpenRequest(record.id, record.host, record.epoch, intent = null)
    val idempotencyRow = record.idempotencyRowKey()
    val first = record.idempotencyKey?.let { encodeIdempotencyRecord(IdempotencyRecord(record.id, it.requestDigest)) }
    return JournalEntry(
        number = number,
        epoch = record.epoch,
        checks = listOfNotNull(idempotencyRow?.let { RowCheck(it, ABSENT) }),
        writes = listOfNotNull(
            RowWrite(requestKey(record.id), encodeRecord(record)),
            RowWrite(openKey(record.host, record.id), encodeOpenRequest(open)),
            idempotencyRow?.let { RowWrite(it, first) },
        ),
    )
}

internal fun intentEntry(number: Long, record: RequestRecord, intent: Intent): JournalEntry {
    val open = OpenRequest(record.id, record.host, record.epoch, intent)
    val write = RowWrite(openKey(record.host, record.id), encodeOpenRequest(open))
    return JournalEntry(number, record.epoch, checks = emptyList(), writes = listOf(write))
}

/** Creates the entry that records the outcome of [record] under the journal's [epoch] if all of [checks] hold. */
internal fun outcomeEntry(number: Long, record: RequestRecord, epoch: Epoch, checks: List<RowCheck>): JournalEntry {
    val end = RowWrite(requestKey(record.id), encodeRecord(record))
    val close = RowWrite(openKey(record.host, record.id), null)
    return JournalEntry(number, epoch, checks, listOf(end, close))
}
