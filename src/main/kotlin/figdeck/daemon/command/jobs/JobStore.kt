package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.left
import figdeck.command.serving.VersionedJob
import figdeck.log.PartLog
import figdeck.log.orWarn
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Row
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.map
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.valueOrNull
import figdeck.store.Store
import figdeck.store.command.fitsOneTransaction
import figdeck.wire.serving.decodeJobItems
import figdeck.wire.serving.decodeJobRecord
import figdeck.wire.serving.decodeResult
import figdeck.wire.serving.encodeJobItems
import figdeck.wire.serving.encodeJobRecord
import figdeck.wire.serving.isCompleteResult
import figdeck.wire.serving.itemKeyPrefix
import figdeck.wire.serving.itemObjectKey
import figdeck.wire.serving.itemWrites
import figdeck.wire.serving.jobRecordKey
import figdeck.wire.serving.keyBeforeResult
import figdeck.wire.serving.resultKeyPrefix
import figdeck.wire.serving.resultPosition
import figdeck.wire.serving.resultWrites

private const val MAX_ITEM_CHUNKS = 90

/** Limits what a read of results takes in memory. Most results take one row. */
internal const val RESULT_PAGE_ROWS = 40
private const val MAX_RESULT_ROWS = 100
private val log = PartLog("jobs")

/** The result of writing a job record. */
internal sealed interface RecordWrite {
    /** The record was written; [job] holds it with its version. */
    data class Written(val job: VersionedJob) : RecordWrite

    /** Nothing was written: the row has another version. [current] is the stored record, or null if there is none. */
    data class Superseded(val current: VersionedJob?) : RecordWrite

    /** Nothing was written: the store did not execute the transaction. */
    data class NotDone(val reason: String) : RecordWrite

    /** Nothing was written, and repeating the write can't change that. */
    data class Refused(val reason: String) : RecordWrite

    /** The record may have been written, or may still be. */
    data class Unknown(val reason: String) : RecordWrite
}

/** Reads and writes the records, items and results of batch jobs in the store. */
internal class JobStore(private val store: Store) {
    /** Stores a new job with its items. */
    suspend fun create(record: JobRecord, items: List<JobItem>): RecordWrite {
        val text = encodeJobItems(items)
        val rows = itemWrites(record.id, text)
        return if (fits(record, rows)) {
            write(record.copy(chunks = rows.size), ABSENT, rows)
        } else {
            createWithObject(record.copy(chunks = 0, itemsId = record.writeId), text)
        }
    }

    private suspend fun createWithObject(record: JobRecord, items: String): RecordWrite {
        val key = itemObjectKey(record.id, record.itemsId)
        return when (val stored = store.commands.putObject(key, items.encodeToByteArray())) {
            is CallResult.Done -> write(record, ABSENT).also { written ->
                val current = (written as? RecordWrite.Superseded)?.current
                if (current != null && current.record.itemsId != record.itemsId) store.deleteUnused(key)
            }
            is CallResult.NotDone -> RecordWrite.NotDone(stored.reason)
            is CallResult.Refused -> RecordWrite.Refused(stored.reason)
            // An object without a record is not part of any job, so the job was not created.
            is CallResult.Unknown -> RecordWrite.NotDone(stored.reason)
        }
    }

    /** Replaces the record at [version] with [record] and executes [otherWrites] in the same transaction. */
    suspend fun write(record: JobRecord, version: Long, otherWrites: List<RowWrite> = emptyList()): RecordWrite {
        return when (val reply = store.commands.commit(recordTransaction(record, version, otherWrites))) {
            is CallResult.NotDone -> RecordWrite.NotDone(reply.reason)
            is CallResult.Refused -> RecordWrite.Refused(reply.reason)
            is CallResult.Unknown -> RecordWrite.Unknown(reply.reason)
            is CallResult.Done -> when (val commitReply = reply.value) {
                is CommitReply.Committed -> RecordWrite.Written(VersionedJob(record, commitReply.version))
                is CommitReply.Conflict -> resolveConflict(record)
            }
        }
    }

    /** Reads the record of [id]; null if there is none. A record that can't be decoded counts as not read. */
    suspend fun read(id: JobId): CallResult<VersionedJob?> {
        val found = store.queries.readRow(jobRecordKey(id))
        return when (found) {
            is CallResult.NotDone -> found
            is CallResult.Refused -> found
            is CallResult.Unknown -> found
            is CallResult.Done -> found.value.value?.let { row -> versionedJob(id, row) } ?: CallResult.Done(null)
        }
    }

    /** Reads the items of [record]. */
    suspend fun readItems(record: JobRecord): Either<String, List<JobItem>> {
        val text = if (record.chunks == 0) store.readItemObject(record) else readChunks(record)
        return text?.let { decodeJobItems(it) } ?: "the items of job ${record.id} can't be read now".left()
    }

    /**
     * Reads the results of [id] from position [from] on, up to the size of one page. Stops before a result that can't
     * be decoded, so that each later one keeps its position.
     */
    suspend fun readResults(id: JobId, from: Int): CallResult<List<JobResult>> {
        val rows = store.readResultRows(id, from, RESULT_PAGE_ROWS)
        val results = rows.map { decodeResults(id, it) }
        // An earlier version may have stored a result of more rows than a page.
        val isCut = results is CallResult.Done && results.value.isEmpty() &&
            rows.valueOrNull()?.size == RESULT_PAGE_ROWS
        return if (isCut) store.readResultRows(id, from, MAX_RESULT_ROWS).map { decodeResults(id, it) } else results
    }

    /** Returns the row writes that store [results] from position [from] on. */
    fun resultRowWrites(id: JobId, from: Int, results: List<JobResult>): List<RowWrite> =
        results.flatMapIndexed { i, result -> resultWrites(id, from + i, result) }

    /** Whether the store accepts a write of [record] with [otherWrites] by its size. */
    fun fits(record: JobRecord, otherWrites: List<RowWrite>): Boolean =
        fitsOneTransaction(recordTransaction(record, ABSENT, otherWrites))

    private suspend fun resolveConflict(wanted: JobRecord): RecordWrite = when (val read = read(wanted.id)) {
        is CallResult.NotDone -> RecordWrite.Unknown(read.reason)
        is CallResult.Refused -> RecordWrite.Unknown(read.reason)
        is CallResult.Unknown -> RecordWrite.Unknown(read.reason)
        is CallResult.Done -> {
            val current = read.value
            // A write that is repeated after its reply was lost conflicts with its own record.
            if (current != null && current.record.writeId == wanted.writeId) {
                RecordWrite.Written(current)
            } else {
                RecordWrite.Superseded(current)
            }
        }
    }

    private suspend fun readChunks(record: JobRecord): String? {
        val prefix = itemKeyPrefix(record.id)
        val rows = store.queries.scanRows(prefix, prefix, MAX_ITEM_CHUNKS).valueOrNull()
        return rows?.takeIf { it.size == record.chunks }?.joinToString("") { it.value }
    }
}

private suspend fun Store.readResultRows(id: JobId, from: Int, limit: Int): CallResult<List<Row>> =
    queries.scanRows(resultKeyPrefix(id), keyBeforeResult(id, from), limit)

/** The results of [id] that [rows] hold whole, in order, up to one that can't be decoded. */
private fun decodeResults(id: JobId, rows: List<Row>): List<JobResult> =
    rows.groupBy { resultPosition(id, it) }
        .values
        .asSequence()
        .takeWhile { isCompleteResult(it) }
        .map { decodeResult(it).orWarn(log) }
        .takeWhile { it != null }
        .filterNotNull()
        .toList()

private suspend fun Store.readItemObject(record: JobRecord): String? =
    queries.readObject(itemObjectKey(record.id, record.itemsId)).valueOrNull()?.value?.decodeToString()

/** Deletes an object that belongs to no job. If that fails, it stays and only takes space. */
private suspend fun Store.deleteUnused(key: String) {
    val deleted = commands.deleteObject(key)
    if (deleted !is CallResult.Done) log.warn { "the unused object $key was not deleted: $deleted" }
}

private fun versionedJob(id: JobId, row: Row): CallResult<VersionedJob> =
    decodeJobRecord(id.value, row.value).orWarn(log)?.let { CallResult.Done(VersionedJob(it, row.version)) }
        ?: CallResult.NotDone("the record of job $id can't be decoded")

private fun recordTransaction(record: JobRecord, version: Long, otherWrites: List<RowWrite>): TableTransaction {
    val key = jobRecordKey(record.id)
    return TableTransaction(
        checks = listOf(RowCheck(key, version)),
        writes = listOf(RowWrite(key, encodeJobRecord(record))) + otherWrites,
    )
}
