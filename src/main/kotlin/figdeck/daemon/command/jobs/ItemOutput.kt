package figdeck.daemon.command.jobs

import figdeck.daemon.command.serving.EventReader
import figdeck.daemon.command.serving.RelayResult
import figdeck.daemon.command.serving.SlotUsageMeter
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.model.Clock
import figdeck.model.serving.ItemProgress
import figdeck.model.serving.withEvent
import figdeck.wire.serving.SseEvent
import figdeck.wire.serving.jsonBytes
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.transformWhile
import kotlin.time.Duration

/**
 * The largest size of an output, in bytes of JSON, so that its result fits into one write to the store: several times
 * that of a sound one, and so small that the outputs of all items that a host runs at once fit into a small heap.
 */
private const val MAX_OUTPUT_SIZE = 512 * 1024

/** What an event adds to the size of an output besides its data, at least as much as its objects take. */
private const val EVENT_SIZE = 64

/**
 * The output that an item has generated so far, across all hosts and upstreams that ran it.
 *
 * @param onDiscarded called when events that may have been saved turn out not to belong to the output.
 */
internal class ItemOutput(
    start: ItemProgress,
    private val onDiscarded: () -> Unit = {},
) {
    /** The events received so far. */
    @Volatile
    var progress: ItemProgress = start
        private set

    /** The data of all events, separated by line feeds. */
    val text: String get() = progress.events.joinToString("\n")

    /** The size of [progress], limited by [MAX_OUTPUT_SIZE]. */
    private var size = start.events.sumOf { sizeOf(it) }

    /**
     * Appends the events of [reply] until it ends, or until no event is completed within [maxPause]. The output is
     * complete if the result is. Calls [onBegun] after the first events of [reply]. An upstream whose events have no
     * end adds none: the item continues elsewhere from where it was. The [meter] is told
     * about each event that is appended.
     */
    suspend fun collect(
        reply: UpstreamReply,
        maxPause: Duration,
        clock: Clock,
        meter: SlotUsageMeter? = null,
        onBegun: suspend () -> Unit = {},
    ): RelayResult {
        val before = progress
        val eventsBefore = before.events.size
        val reader = EventReader(maxPause, clock())
        var fault: String? = null
        reply.body.chunks.transformWhile<ByteArray, Unit> { chunk ->
            val readAt = clock()
            val known = progress.events.size
            val hadBegun = known > eventsBefore
            fault = reader.read(chunk, readAt).fold({ it }, { events -> events.firstNotNullOfOrNull { append(it) } })
            meter?.onEvents(progress.events.size - known, readAt)
            if (!hadBegun && progress.events.size > eventsBefore) onBegun()
            fault == null
        }.collect()
        if (size > MAX_OUTPUT_SIZE) discardAfter(before)
        return when {
            fault != null -> RelayResult.Broken(fault.orEmpty(), hasEnded = false)
            reader.hasPartialEvent -> RelayResult.Broken("the stream ended in the middle of an event", hasEnded = true)
            progress.events.isEmpty() || (progress.events.size == eventsBefore && !reply.isDelimited) ->
                RelayResult.Broken("the stream ended before its first event", hasEnded = true)
            else -> RelayResult.Complete
        }
    }

    private fun append(event: SseEvent): String? {
        val before = progress
        val data = event.data
        val next = before.withEvent(event.id, data)
        if (next != null) size += sizeOf(data)
        progress = next ?: before
        return when {
            next == null -> "event ${event.id} does not follow event ${before.lastEventId}"
            size > MAX_OUTPUT_SIZE -> "the output is larger than $MAX_OUTPUT_SIZE"
            else -> null
        }
    }

    private fun discardAfter(before: ItemProgress) {
        progress = before
        size = before.events.sumOf { sizeOf(it) }
        onDiscarded()
    }
}

private fun sizeOf(data: String): Int = jsonBytes(data) + EVENT_SIZE
