package figdeck.daemon.command.jobs

import figdeck.daemon.command.serving.EventReader
import figdeck.daemon.command.serving.RelayResult
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.model.Clock
import figdeck.model.serving.ItemProgress
import figdeck.model.serving.withEvent
import figdeck.wire.serving.SseEvent
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.transformWhile
import kotlin.time.Duration

/** The output that an item has generated so far, across all hosts and upstreams that ran it. */
internal class ItemOutput(start: ItemProgress) {
    /** The events received so far. */
    @Volatile
    var progress: ItemProgress = start
        private set

    /** The data of all events, separated by line feeds. */
    val text: String get() = progress.events.joinToString("\n")

    /**
     * Appends the events of [reply] until it ends, or until no event is completed within [maxPause]. The output is
     * complete if the result is. Calls [onBegun] after the first events of [reply].
     */
    suspend fun collect(
        reply: UpstreamReply,
        maxPause: Duration,
        clock: Clock,
        onBegun: suspend () -> Unit = {},
    ): RelayResult {
        val eventsBefore = progress.events.size
        val reader = EventReader(maxPause, clock())
        var fault: String? = null
        reply.body.chunks.transformWhile<ByteArray, Unit> { chunk ->
            val hadBegun = progress.events.size > eventsBefore
            fault = reader.read(chunk, clock()).fold({ it }, { events -> events.firstNotNullOfOrNull { append(it) } })
            if (!hadBegun && progress.events.size > eventsBefore) onBegun()
            fault == null
        }.collect()
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
        val next = before.withEvent(event.id, event.data)
        progress = next ?: before
        return if (next == null) "event ${event.id} does not follow event ${before.lastEventId}" else null
    }
}
