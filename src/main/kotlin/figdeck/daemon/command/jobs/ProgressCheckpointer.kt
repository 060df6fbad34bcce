package figdeck.daemon.command.jobs

import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.serving.JobId
import figdeck.model.serving.OutputRunId
import figdeck.model.serving.OutputSegment
import figdeck.model.serving.SavedSegment
import figdeck.model.serving.noProgress
import figdeck.model.serving.segmentFrom
import figdeck.store.command.fitsOneTransaction
import figdeck.wire.serving.MAX_ROW_BYTES
import figdeck.wire.serving.jsonBytes
import figdeck.wire.serving.outputSegmentWrite
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.milliseconds

/** A lost host loses the output since its last write. The interval is a sixth of the run time of a long item. */
private val CHECKPOINT_INTERVAL = 1_500.milliseconds

/** Limits the rows of one write, because a transaction holds a hundred rows. */
private const val MAX_SEGMENTS_PER_WRITE = 24
private const val MAX_REMOVALS_PER_WRITE = 60

/** What JSON adds to an event besides its data. */
private const val EVENT_FRAME_BYTES = 3

/** The most bytes of the events of a segment; JSON adds less than a hundred. */
private const val MAX_SEGMENT_BYTES = MAX_ROW_BYTES - 100
private val log = PartLog("jobs")

/**
 * Saves the unfinished outputs of one job in the store, so that its next owner resumes from them. An earlier owner may
 * still write its own: the rows of each run have keys of their own and are read by themselves, so they need no fencing.
 *
 * @param run the run of all items of this owner, which no other owner has.
 * @param saved the outputs saved by an earlier owner, by item position.
 */
internal class ProgressCheckpointer(
    private val store: ProgressStore,
    private val id: JobId,
    private val run: OutputRunId,
    private val saved: Map<Int, SavedOutput>,
) {
    private val trackedItems = ConcurrentHashMap<Int, TrackedItem>()
    private val obsoleteKeys = ConcurrentLinkedQueue<String>()
    private var maxSegments = MAX_SEGMENTS_PER_WRITE

    /** Returns the output of the item at [position] and includes it in later checkpoints. */
    fun trackOutput(position: Int): ItemOutput {
        val known = saved[position] ?: SavedOutput(noProgress, null, emptyList())
        val output = ItemOutput(known.progress) { discard(position) }
        trackedItems[position] = TrackedItem(output, known.progress.events.size, known.run, known.keys)
        return output
    }

    /**
     * Stops saving the item at [position] and schedules the removal of its rows: its result is stored, or its rows hold
     * events that don't belong to its output, and a later owner must restart it.
     */
    fun discard(position: Int) {
        trackedItems.remove(position)?.let { obsoleteKeys.addAll(it.keys) }
    }

    /** Saves new output at a fixed interval until cancelled. */
    suspend fun checkpointUntilCancelled() {
        while (true) {
            delay(CHECKPOINT_INTERVAL)
            checkpoint()
        }
    }

    /** Saves the output generated since the last checkpoint and removes obsolete rows. */
    suspend fun checkpoint() {
        val unsaved = trackedItems.mapNotNull { (position, item) ->
            item.output.progress
                .segmentFrom(item.savedEventCount, MAX_SEGMENT_BYTES) { jsonBytes(it) + EVENT_FRAME_BYTES }
                ?.let { UnsavedSegment(position, item, it) }
        }.take(maxSegments)
        val removals = generateSequence { obsoleteKeys.poll() }.take(MAX_REMOVALS_PER_WRITE).toList()
        val writes = fittingWrites(unsaved, removals)
        if (writes.isEmpty() && removals.isEmpty()) {
            return
        }
        when (val reply = store.write(writes.values + removals.map { RowWrite(it, null) })) {
            is CallResult.Done -> {
                maxSegments = MAX_SEGMENTS_PER_WRITE
                writes.forEach { (item, write) -> markSaved(item, write.key) }
            }
            is CallResult.Refused -> onRefused(writes.keys.toList(), removals, reply.reason)
            // The next checkpoint writes from the same starts again, under the same keys.
            is CallResult.NotDone -> onWriteFailed(reply.reason, removals)
            is CallResult.Unknown -> onWriteFailed(reply.reason, removals)
        }
    }

    /** The writes of the first of [unsaved], as many as fit into one transaction with [removals]. */
    private fun fittingWrites(unsaved: List<UnsavedSegment>, removals: List<String>): Map<UnsavedSegment, RowWrite> {
        var sent = removals.map { RowWrite(it, null) }
        return unsaved.associateWith { outputSegmentWrite(id, it.position, savedSegment(it)) }.entries
            .takeWhile { (_, write) ->
                sent = sent + write
                fitsOneTransaction(TableTransaction(emptyList(), sent))
            }
            .associate { it.toPair() }
    }

    private fun savedSegment(unsaved: UnsavedSegment): SavedSegment =
        SavedSegment(run, unsaved.item.continues, unsaved.segment)

    private fun markSaved(unsaved: UnsavedSegment, key: String) {
        val known = unsaved.item
        val next = known.copy(
            savedEventCount = known.savedEventCount + unsaved.segment.events.size,
            continues = null,
            keys = known.keys + key,
        )
        if (trackedItems.computeIfPresent(unsaved.position) { _, _ -> next } == null) {
            obsoleteKeys.add(key)
        }
    }

    /** Makes the next write smaller, or stops saving an output whose segment is refused by itself. */
    private fun onRefused(segments: List<UnsavedSegment>, removals: List<String>, reason: String) {
        maxSegments = (segments.size / 2).coerceAtLeast(1)
        if (segments.size <= 1) {
            log.error { "unfinished output of job $id can't be saved: $reason" }
            segments.forEach { discard(it.position) }
        }
        // Rows that can't be removed stay: nothing reads them once the job is done.
        if (segments.isNotEmpty()) obsoleteKeys.addAll(removals)
    }

    private fun onWriteFailed(reason: String, removals: List<String>) {
        log.debug { "unfinished outputs of job $id were not saved: $reason" }
        obsoleteKeys.addAll(removals)
    }

    /** @property continues the run from which this one resumed; null once it has saved events of its own. */
    private data class TrackedItem(
        val output: ItemOutput,
        val savedEventCount: Int,
        val continues: OutputRunId?,
        val keys: List<String>,
    )

    private data class UnsavedSegment(
        val position: Int,
        val item: TrackedItem,
        val segment: OutputSegment,
    )
}
