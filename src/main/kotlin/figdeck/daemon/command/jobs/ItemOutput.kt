package figdeck.daemon.command.jobs

import figdeck.daemon.command.serving.UpstreamReply
import figdeck.model.serving.ItemProgress
import figdeck.model.serving.withEvent
import figdeck.wire.serving.SseEvent
import figdeck.wire.serving.SseFramer
import kotlinx.coroutines.flow.takeWhile

/** What an item has generated so far, over all hosts and upstreams that ran it. */
internal class ItemOutput(start: ItemProgress) {
    /** The events so far. */
    @Volatile
    var progress: ItemProgress = start
        private set

    /** The whole output. */
    val text: String get() = progress.events.joinToString("\n")

    /** Takes the events of [reply] up to its end; null when they make the output whole, and else what is wrong. */
    suspend fun collect(reply: UpstreamReply): String? {
        val framer = SseFramer()
        var fault: String? = null
        reply.body.chunks.takeWhile { fault == null }.collect { chunk ->
            for (event in framer.decode(chunk)) {
                fault = fault ?: take(event)
            }
        }
        return when {
            fault != null -> fault
            framer.hasPartialEvent -> "the stream ended within an event"
            progress.events.isEmpty() -> "the stream ended without an event"
            else -> null
        }
    }

    private fun take(event: SseEvent): String? {
        val before = progress
        val next = before.withEvent(event.id, event.data)
        progress = next ?: before
        return if (next == null) "event ${event.id} came after event ${before.lastEventId}" else null
    }
}
