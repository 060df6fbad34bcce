package figdeck.daemon.command.jobs

import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.OutputSegment
import figdeck.model.serving.noProgress
import figdeck.model.serving.segmentFrom
import figdeck.wire.serving.MAX_ROW_CHARACTERS
import figdeck.wire.serving.outputSegmentWrite
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.milliseconds

/** What a host has generated since the last write is lost with it: a sixth of what a long item needs. */
private val KEEP_INTERVAL = 1_500.milliseconds

/** Rows of one write; a transaction holds a hundred, and a megabyte in Base64. */
private const val MAX_SEGMENTS = 24
private const val MAX_REMOVALS = 60
private val log = PartLog("jobs")

/**
 * Keeps the unfinished outputs of one job in the store, so that its next owner goes on from them. Any beginning of an
 * output stays true whoever wrote it, so these rows need no fence.
 *
 * @param found what an earlier owner kept, by the item's position.
 */
internal class KeepProgress(
    private val store: ProgressStore,
    private val id: JobId,
    private val found: Map<Int, KeptOutput>,
) {
    private val running = ConcurrentHashMap<Int, Running>()
    private val outdated = ConcurrentLinkedQueue<String>()

    /** The output of the item at [position], which is kept from now on. */
    fun outputAt(position: Int): ItemOutput {
        val known = found[position] ?: KeptOutput(noProgress, emptyList())
        val output = ItemOutput(known.progress)
        running[position] = Running(output, known.progress.events.size, known.keys)
        return output
    }

    /** Drops the rows of the item at [position]: its result is listed. */
    fun forget(position: Int) {
        running.remove(position)?.let { outdated.addAll(it.keys) }
    }

    /** Writes what came since, until cancelled. */
    suspend fun keepAll() {
        while (true) {
            delay(KEEP_INTERVAL)
            keepOnce()
        }
    }

    /** Writes what came since the last time, and drops rows that nobody needs. */
    suspend fun keepOnce() {
        val grown = running.mapNotNull { (position, item) ->
            item.output.progress.segmentFrom(item.keptEvents, MAX_ROW_CHARACTERS)?.let { Grown(position, item, it) }
        }.take(MAX_SEGMENTS)
        val removals = generateSequence { outdated.poll() }.take(MAX_REMOVALS).toList()
        val writes = grown.associateWith { outputSegmentWrite(id, it.position, it.segment) }
        if (writes.isEmpty() && removals.isEmpty()) {
            return
        }
        when (val reply = store.keep(writes.values + removals.map { RowWrite(it, null) })) {
            is CallResult.Done -> writes.forEach { (item, write) -> confirm(item, write.key) }
            // Written again the next time under the same keys.
            is CallResult.NotDone -> notKept(reply.reason, removals)
            is CallResult.Unknown -> notKept(reply.reason, removals)
        }
    }

    private fun confirm(grown: Grown, key: String) {
        val known = grown.item
        val next = known.copy(
            keptEvents = known.keptEvents + grown.segment.events.size,
            keys = known.keys + key
        )
        if (running.computeIfPresent(grown.position) { _, _ -> next } == null) {
            outdated.add(key)
        }
    }

    private fun notKept(reason: String, removals: List<String>) {
        log.debug { "unfinished outputs of job $id were not kept: $reason" }
        outdated.addAll(removals)
    }

    private data class Running(
        val output: ItemOutput,
        val keptEvents: Int,
        val keys: List<String>,
    )

    private data class Grown(
        val position: Int,
        val item: Running,
        val segment: OutputSegment,
    )
}
