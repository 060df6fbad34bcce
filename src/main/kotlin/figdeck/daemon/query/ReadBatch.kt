package figdeck.daemon.query

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.command.batch.jobKey
import figdeck.command.batch.segmentKey
import figdeck.command.batch.segmentsPrefix
import figdeck.model.BatchId
import figdeck.model.BatchJob
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.model.Segment
import figdeck.model.SegmentId
import figdeck.model.StoredJobState
import figdeck.model.TeamId
import figdeck.model.map
import figdeck.model.valueOrNull
import figdeck.store.query.Lookup
import figdeck.store.query.StoreQueries
import figdeck.wire.decodeJob
import figdeck.wire.decodeSegment
import kotlin.time.Duration.Companion.seconds

private const val PAGE_ROWS = 500
private const val DONE_CHECK_PAGE_ROWS = 20

/** A job and the version of its row. */
internal data class StoredJob(
    val job: BatchJob,
    val version: Long,
)

/** A segment and the version of its row. */
internal data class StoredSegment(
    val segment: Segment,
    val version: Long,
)

/** A job and the progress of its segments, in item order. */
internal data class JobProgress(
    val stored: StoredJob,
    val segments: List<Segment>,
)

internal suspend fun StoreQueries.readJob(id: BatchId): CallResult<Lookup<StoredJob>> =
    readRow(jobKey(id)).map { found -> Lookup(found.value?.let { StoredJob(decodeJob(it.value), it.version) }) }

internal suspend fun StoreQueries.readSegment(id: SegmentId): CallResult<Lookup<StoredSegment>> =
    readRow(
        segmentKey(id)
    ).map { found -> Lookup(found.value?.let { StoredSegment(decodeSegment(it.value), it.version) }) }

/** Reads all segments of [id] in item order. */
internal suspend fun StoreQueries.readSegments(id: BatchId): CallResult<List<Segment>> {
    val prefix = segmentsPrefix(id)
    val segments = mutableListOf<Segment>()
    var after = prefix
    while (true) {
        val page = scanRows(prefix, after, PAGE_ROWS)
        if (page !is CallResult.Done) {
            return page.map { segments }
        }
        page.value.mapTo(segments) { decodeSegment(it.value) }
        after = page.value.lastOrNull()?.key ?: after
        if (page.value.size < PAGE_ROWS) {
            return CallResult.Done(segments)
        }
    }
}

/** Whether every segment of [job] is done; stops reading at the first page with an unfinished segment. */
internal suspend fun StoreQueries.isDone(job: BatchJob): CallResult<Boolean> {
    val prefix = segmentsPrefix(job.id)
    var after = prefix
    var done = 0
    while (done < job.segments) {
        val page = scanRows(prefix, after, DONE_CHECK_PAGE_ROWS)
        val rows = page.valueOrNull() ?: return page.map { false }
        if (rows.isEmpty() || rows.any { !decodeSegment(it.value).isDone }) {
            break
        }
        done += rows.size
        after = rows.last().key
    }
    return CallResult.Done(done == job.segments)
}

/** Returns the job [id] of [team] with its progress. A job of another team is not found. */
internal suspend fun StoreQueries.findBatch(team: TeamId, id: String): Either<Refusal, JobProgress> = either {
    val batchId = runCatching { BatchId(id) }.getOrNull()
    ensure(batchId != null) { notFound(id) }
    val found = readJob(batchId)
    ensure(found is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    val stored = found.value.value
    ensure(stored != null && stored.job.team == team && stored.job.storedState != StoredJobState.ABANDONED) {
        notFound(id)
    }
    val segments = readSegments(batchId)
    ensure(segments is CallResult.Done) { Refusal.StoreUnavailable(1.seconds) }
    JobProgress(stored, segments.value)
}

private fun notFound(id: String) = Refusal.NotFound("batch '$id'")
