package figdeck.daemon.command.batch

import figdeck.command.batch.itemsKey
import figdeck.command.batch.jobKey
import figdeck.command.batch.pointerKey
import figdeck.command.batch.retainedJobKey
import figdeck.command.batch.segmentKey
import figdeck.daemon.query.readSegments
import figdeck.model.BatchJob
import figdeck.model.CallResult
import figdeck.model.RowWrite
import figdeck.model.Segment
import figdeck.model.SegmentId
import figdeck.model.valueOrNull
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_SEGMENTS_PER_TRANSACTION = 50

/** The delay between two deletions, which keeps the deletion rate far below the platform's write rate limit. */
private val DELETE_DELAY = 20.milliseconds

/**
 * Deletes the objects of [job], then its rows. The retention row is deleted last, so that a later sweep resumes after a
 * failure.
 */
internal suspend fun BatchServices.deleteBatch(job: BatchJob) {
    val segments = platform.queries.readSegments(job.id).valueOrNull() ?: return
    val objectsDeleted = segments.all { deleteObjects(it) } && deleteItemsFrom(job, segments.size)
    val rows = segments.flatMap { listOf(RowWrite(segmentKey(it.id), null), RowWrite(pointerKey(it.id), null)) }
    val rowsDeleted = objectsDeleted &&
        rows.chunked(2 * MAX_SEGMENTS_PER_TRANSACTION).all { writeWithRetry(it).isRight() }
    if (rowsDeleted) {
        val idempotencyRow = job.idempotencyRowKey.takeIf { it.isNotEmpty() }?.let { RowWrite(it, null) }
        writeWithRetry(
            listOfNotNull(idempotencyRow, RowWrite(jobKey(job.id), null), RowWrite(retainedJobKey(job.id), null))
        )
    }
}

private suspend fun BatchServices.deleteObjects(segment: Segment): Boolean =
    (segment.groups.map { it.objectKey } + itemsKey(segment.id)).all { deleteAfterDelay(it) }

/** Deletes the item objects, from segment [first] on, of an upload that ended before its segment rows were written. */
private suspend fun BatchServices.deleteItemsFrom(job: BatchJob, first: Int): Boolean {
    var number = first
    while (true) {
        val key = itemsKey(SegmentId(job.id, number++))
        val read = platform.queries.readObject(key)
        val found = read is CallResult.Done && read.value.value != null
        if (!found || !deleteAfterDelay(key)) {
            return read is CallResult.Done && read.value.value == null
        }
    }
}

private suspend fun BatchServices.deleteAfterDelay(key: String): Boolean {
    delay(DELETE_DELAY)
    return platform.commands.deleteObject(key) is CallResult.Done
}
