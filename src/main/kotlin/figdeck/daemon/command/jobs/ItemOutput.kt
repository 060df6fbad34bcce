package figdeck.daemon.command.jobs

import figdeck.daemon.command.serving.UpstreamReply
import figdeck.wire.serving.EventFramer
import figdeck.wire.serving.StreamEvent
import kotlinx.coroutines.flow.takeWhile

/** What an item has generated so far, over all upstreams that ran it. */
internal class ItemOutput {
    private val collected = mutableListOf<String>()

    /** The data of the events, in order. */
    val events: List<String> get() = collected

    /** The event after which the next run begins; null before the first. */
    var lastEventId: Long? = null
        private set

    /** The whole output. */
    val text: String get() = collected.joinToString("\n")

    /** Takes the events of [reply] up to its end; null when they make the output whole, and else what is wrong. */
    suspend fun collect(reply: UpstreamReply): String? {
        val framer = EventFramer()
        var fault: String? = null
        reply.body.chunks.takeWhile { fault == null }.collect { chunk ->
            for (event in framer.take(chunk)) {
                fault = fault ?: take(event)
            }
        }
        return when {
            fault != null -> fault
            framer.hasPartial -> "the stream ended within an event"
            collected.isEmpty() -> "the stream ended without an event"
            else -> null
        }
    }

    private fun take(event: StreamEvent): String? {
        val last = lastEventId
        val id = event.id
        return if (id == null || (last != null && id != last + 1)) {
            "event $id came after event $last"
        } else {
            collected += event.data
            lastEventId = id
            null
        }
    }
}
