package figdeck.daemon.command.jobs

import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.OutputSegment
import figdeck.model.serving.noProgress
import figdeck.model.serving.segmentFrom
import figdeck.wire.serving.ROW_CHARACTERS
import figdeck.wire.serving.segmentWrite
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.milliseconds

/** What a host has generated since the last write is lost with it: a sixth of what a long item needs. */
private val CHECKPOINT_INTERVAL = 1_500.milliseconds

/** Rows of one write; a transaction holds a hundred, and a megabyte in Base64. */
private const val MAX_SEGMENTS_PER_WRITE = 24
private const val MAX_REMOVALS_PER_WRITE = 60
private val log = PartLog("jobs")

/**
 * Keeps the unfinished outputs of one job in the store, so that its next owner goes on from them. Any beginning of an
 * output stays true whoever wrote it, so these rows need no fence.
 *
 * @param saved what an earlier owner kept, by the item's position.
 */
internal class ProgressCheckpointer(
    private val store: ProgressStore,
    private val id: JobId,
    private val saved: Map<Int, SavedOutput>,
) {
    private val trackedItems = ConcurrentHashMap<Int, TrackedItem>()
    private val obsoleteKeys = ConcurrentLinkedQueue<String>()

    /** The output of the item at [position], which is kept from now on. */
    fun trackOutput(position: Int): ItemOutput {
        val known = saved[position] ?: SavedOutput(noProgress, emptyList())
        val output = ItemOutput(known.progress)
        trackedItems[position] = TrackedItem(output, known.progress.events.size, known.keys)
        return output
    }

    /** Drops the rows of the item at [position]: its result is listed. */
    fun discard(position: Int) {
        trackedItems.remove(position)?.let { obsoleteKeys.addAll(it.keys) }
    }

    /** Writes what came since, until cancelled. */
    suspend fun checkpointUntilCancelled() {
        while (true) {
            delay(CHECKPOINT_INTERVAL)
            checkpoint()
        }
    }

    /** Writes what came since the last time, and drops rows that nobody needs. */
    suspend fun checkpoint() {
        val unsaved = trackedItems.mapNotNull { (position, item) ->
            item.output.progress.segmentFrom(
                item.savedEvents,
                ROW_CHARACTERS
            )?.let { UnsavedSegment(position, item, it) }
        }.take(MAX_SEGMENTS_PER_WRITE)
        val removals = generateSequence { obsoleteKeys.poll() }.take(MAX_REMOVALS_PER_WRITE).toList()
        val writes = unsaved.associateWith { segmentWrite(id, it.position, it.segment) }
        if (writes.isEmpty() && removals.isEmpty()) {
            return
        }
        when (val reply = store.write(writes.values + removals.map { RowWrite(it, null) })) {
            is CallResult.Done -> writes.forEach { (item, write) -> markSaved(item, write.key) }
            // Written again the next time under the same keys.
            is CallResult.NotDone -> onWriteFailed(reply.reason, removals)
            is CallResult.Unknown -> onWriteFailed(reply.reason, removals)
        }
    }

    private fun markSaved(unsaved: UnsavedSegment, key: String) {
        val known = unsaved.item
        val next = known.copy(
            savedEvents = known.savedEvents + unsaved.segment.events.size,
            keys = known.keys + key
        )
        if (trackedItems.computeIfPresent(unsaved.position) { _, _ -> next } == null) {
            obsoleteKeys.add(key)
        }
    }

    private fun onWriteFailed(reason: String, removals: List<String>) {
        log.debug { "unfinished outputs of job $id were not kept: $reason" }
        obsoleteKeys.addAll(removals)
    }

    private data class TrackedItem(
        val output: ItemOutput,
        val savedEvents: Int,
        val keys: List<String>,
    )

    private data class UnsavedSegment(
        val position: Int,
        val item: TrackedItem,
        val segment: OutputSegment,
    )
}
