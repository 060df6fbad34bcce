package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.left
import figdeck.command.serving.VersionedJob
import figdeck.log.PartLog
import figdeck.log.orWarn
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
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

/** Items of a job that are longer than this go into an object: a transaction holds a megabyte, in Base64. */
private const val MAX_ROW_TEXT = 400_000
private const val MAX_CHUNKS = 90
private const val PAGE_ROWS = 100
private val log = PartLog("jobs")

/** What became of a write of a job's record. */
internal sealed interface RecordWrite {
    /** The record stands as it was written, at [job]'s version. */
    data class Written(val job: VersionedJob) : RecordWrite

    /** Nothing was written: [current] stands, or nothing when that is null. */
    data class Superseded(val current: VersionedJob?) : RecordWrite

    /** Nothing was written: the store did nothing. */
    data class NotDone(val reason: String) : RecordWrite

    /** It may have been written, or may be written yet. */
    data class Unknown(val reason: String) : RecordWrite
}

/** The records, items and results of batch jobs in the store. */
internal class JobStore(private val store: Store) {
    /** Keeps a new job with its items. */
    suspend fun create(record: JobRecord, items: List<JobItem>): RecordWrite {
        val text = encodeJobItems(items)
        val inRows = text.length <= MAX_ROW_TEXT
        val kept = when {
            inRows -> CallResult.Done(Unit)
            else -> store.commands.putObject(itemObjectKey(record.id), text.encodeToByteArray())
        }
        val rows = if (inRows) itemWrites(record.id, text) else emptyList()
        return when (kept) {
            is CallResult.Done -> write(record.copy(chunks = rows.size), ABSENT, rows)
            is CallResult.NotDone -> RecordWrite.NotDone(kept.reason)
            // An object without a record belongs to no job.
            is CallResult.Unknown -> RecordWrite.NotDone(kept.reason)
        }
    }

    /** Writes [record] in place of the one at [version], together with [others]. */
    suspend fun write(record: JobRecord, version: Long, others: List<RowWrite> = emptyList()): RecordWrite {
        val key = jobRecordKey(record.id)
        val transaction = TableTransaction(
            checks = listOf(RowCheck(key, version)),
            writes = listOf(RowWrite(key, encodeJobRecord(record))) + others,
        )
        return when (val reply = store.commands.commit(transaction)) {
            is CallResult.NotDone -> RecordWrite.NotDone(reply.reason)
            is CallResult.Unknown -> RecordWrite.Unknown(reply.reason)
            is CallResult.Done -> when (val decided = reply.value) {
                is CommitReply.Committed -> RecordWrite.Written(VersionedJob(record, decided.version))
                is CommitReply.Conflict -> superseded(record)
            }
        }
    }

    /** Reads the record of [id]. */
    suspend fun read(id: JobId): CallResult<VersionedJob?> = store.queries.readRow(jobRecordKey(id)).map { found ->
        found.value?.let { row ->
            decodeJobRecord(id.value, row.value).orWarn(log)?.let { VersionedJob(it, row.version) }
        }
    }

    /** Reads the items of [record]. */
    suspend fun readItems(record: JobRecord): Either<String, List<JobItem>> {
        val text = if (record.chunks == 0) readObject(record) else readChunks(record)
        return text?.let { decodeJobItems(it) } ?: "the items of job ${record.id} can't be read now".left()
    }

    /** Reads the results of [id] from position [from] on, as many as one call gives. */
    suspend fun readResults(id: JobId, from: Int): CallResult<List<JobResult>> =
        store.queries.scanRows(resultKeyPrefix(id), keyBeforeResult(id, from), PAGE_ROWS).map { rows ->
            rows.groupBy { resultPosition(id, it) }
                .values
                .takeWhile { isCompleteResult(it) }
                .mapNotNull { decodeResult(it).getOrNull() }
        }

    /** The writes that list [results] from position [from] on. */
    fun listing(id: JobId, from: Int, results: List<JobResult>): List<RowWrite> =
        results.flatMapIndexed { i, result -> resultWrites(id, from + i, result) }

    private suspend fun superseded(wanted: JobRecord): RecordWrite = when (val read = read(wanted.id)) {
        is CallResult.NotDone -> RecordWrite.Unknown(read.reason)
        is CallResult.Unknown -> RecordWrite.Unknown(read.reason)
        is CallResult.Done -> {
            val current = read.value
            // A write whose reply was lost meets its own record when it is sent again.
            if (current != null && current.record.writeId == wanted.writeId) {
                RecordWrite.Written(current)
            } else {
                RecordWrite.Superseded(current)
            }
        }
    }

    private suspend fun readObject(record: JobRecord): String? =
        store.queries.readObject(itemObjectKey(record.id)).valueOrNull()?.value?.decodeToString()

    private suspend fun readChunks(record: JobRecord): String? {
        val prefix = itemKeyPrefix(record.id)
        val rows = store.queries.scanRows(prefix, prefix, MAX_CHUNKS).valueOrNull()
        return rows?.takeIf { it.size == record.chunks }?.joinToString("") { it.value }
    }
}
