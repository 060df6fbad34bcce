package figdeck.daemon.command.serving

import figdeck.wire.serving.SseEvent
import figdeck.wire.serving.SseFramer
import kotlinx.coroutines.flow.takeWhile

/** How the relaying of one upstream's stream ended. */
internal sealed interface RelayResult {
    /** The stream is whole. */
    data object Whole : RelayResult

    /** The stream can't be used from here on. */
    data class Broken(val reason: String) : RelayResult
}

/**
 * What of a stream has gone to the caller, over all upstreams that made it.
 *
 * @property lastEventId the latest event that the caller got, or the one it had before.
 */
internal class StreamProgress(lastEventId: Long?) {
    var lastEventId: Long? = lastEventId
        private set
    var hasStarted: Boolean = false
        private set

    /** Passes the events of [reply] on as they come, the first with the head. */
    suspend fun relay(reply: UpstreamReply, caller: CallerChannel): RelayResult {
        val framer = SseFramer()
        var broken: String? = null
        reply.body.chunks.takeWhile { broken == null }.collect { chunk ->
            val events = framer.decode(chunk)
            broken = events.firstNotNullOfOrNull { fault(it) }
            if (broken == null && events.isNotEmpty()) {
                pass(events, reply, caller)
            }
        }
        return when {
            broken != null -> RelayResult.Broken(broken.orEmpty())
            framer.hasPartialEvent -> RelayResult.Broken("the stream ended within an event")
            !hasStarted -> RelayResult.Broken("the stream ended without an event")
            else -> RelayResult.Whole
        }
    }

    private suspend fun pass(events: List<SseEvent>, reply: UpstreamReply, caller: CallerChannel) {
        if (!hasStarted) {
            hasStarted = true
            caller.start(reply.status, reply.headers)
        }
        caller.write(events.map { it.bytes }.reduce { all, next -> all + next })
        lastEventId = events.lastOrNull { it.id != null }?.id ?: lastEventId
    }

    private fun fault(event: SseEvent): String? {
        val last = lastEventId
        val id = event.id
        return if (id != null && last != null && id <= last) "event $id came again after $last" else null
    }
}
