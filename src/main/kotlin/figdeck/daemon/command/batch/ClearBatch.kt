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

private const val SEGMENTS_PER_TRANSACTION = 50

/** The pause between two removals, which keeps clearing far below the platform's rate of writes. */
private val REMOVAL_PAUSE = 20.milliseconds

/** Removes a job's objects, then its rows; after a fault a later sweep goes on, since the kept row goes last. */
internal suspend fun BatchServices.clear(job: BatchJob) {
    val segments = platform.queries.readSegments(job.id).valueOrNull() ?: return
    val removed = segments.all { removeObjects(it) } && removeItemsFrom(job, segments.size)
    val rows = segments.flatMap { listOf(RowWrite(segmentKey(it.id), null), RowWrite(pointerKey(it.id), null)) }
    val cleared = removed && rows.chunked(2 * SEGMENTS_PER_TRANSACTION).all { writePatiently(it).isRight() }
    if (cleared) {
        val resend = job.idempotencyRowKey.takeIf { it.isNotEmpty() }?.let { RowWrite(it, null) }
        writePatiently(listOfNotNull(resend, RowWrite(jobKey(job.id), null), RowWrite(retainedJobKey(job.id), null)))
    }
}

private suspend fun BatchServices.removeObjects(segment: Segment): Boolean =
    (segment.groups.map { it.objectKey } + itemsKey(segment.id)).all { remove(it) }

/** Removes the items of an upload that ended before it had written its segments' rows. */
private suspend fun BatchServices.removeItemsFrom(job: BatchJob, first: Int): Boolean {
    var number = first
    while (true) {
        val key = itemsKey(SegmentId(job.id, number++))
        val read = platform.queries.readObject(key)
        val found = read is CallResult.Done && read.value.value != null
        if (!found || !remove(key)) {
            return read is CallResult.Done && read.value.value == null
        }
    }
}

private suspend fun BatchServices.remove(key: String): Boolean {
    delay(REMOVAL_PAUSE)
    return platform.commands.deleteObject(key) is CallResult.Done
}
