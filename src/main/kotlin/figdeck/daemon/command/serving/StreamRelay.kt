package figdeck.daemon.command.serving

import arrow.core.getOrElse
import figdeck.model.Clock
import figdeck.wire.serving.SseEvent
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.transformWhile
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** The result of relaying the stream of one upstream. */
internal sealed interface RelayResult {
    /** The stream has ended and is complete. */
    data object Complete : RelayResult

    /**
     * Nothing more of the stream can be forwarded.
     *
     * @property hasEnded whether the upstream ended the stream early; otherwise the stream is of no use.
     */
    data class Broken(
        val reason: String,
        val hasEnded: Boolean,
    ) : RelayResult
}

/**
 * Relays a stream to the caller, across all upstreams that generate it.
 *
 * @property lastEventId the last event sent to the caller, or the one from which the caller resumes.
 * @property hasStarted whether the response head has been sent to the caller.
 * @property eventCount the number of events sent to the caller.
 */
internal class StreamRelay(lastEventId: Long?) {
    var lastEventId: Long? = lastEventId
        private set
    var hasStarted: Boolean = false
        private set
    var eventCount: Int = 0
        private set

    /** Measures the stream of the present upstream. */
    var meter: SlotUsageMeter? = null

    /**
     * Forwards the events of [reply] as they arrive, with the response head before the first event. Gives the stream up
     * if no event is completed within [maxPause]. Calls [onBegun] after the first events of [reply].
     */
    suspend fun relay(
        reply: UpstreamReply,
        maxPause: Duration,
        clock: Clock,
        caller: CallerChannel,
        onBegun: suspend () -> Unit = {},
    ): RelayResult {
        val eventsBefore = eventCount
        val reader = EventReader(maxPause, clock())
        var error: String? = null
        reply.body.chunks.transformWhile<ByteArray, Unit> { chunk ->
            val readAt = clock()
            val events = reader.read(chunk, readAt).getOrElse { fault ->
                error = fault
                emptyList()
            }
            error = error ?: events.firstNotNullOfOrNull { orderError(it) }
            if (error == null && events.isNotEmpty()) {
                meter?.onEvents(events.count { it.hasContent }, readAt)
                val hasBegun = eventCount > eventsBefore
                forwardEvents(events, reply, caller)
                if (!hasBegun) onBegun()
                val unread = clock() - readAt
                reader.exclude(unread)
                meter?.exclude(unread)
            }
            error == null
        }.collect()
        return when {
            error != null -> RelayResult.Broken(error.orEmpty(), hasEnded = false)
            reader.hasPartialEvent -> RelayResult.Broken("the stream ended in the middle of an event", hasEnded = true)
            !hasStarted || (eventCount == eventsBefore && !reply.isDelimited) ->
                RelayResult.Broken("the stream ended before its first event", hasEnded = true)
            else -> RelayResult.Complete
        }
    }

    private suspend fun forwardEvents(events: List<SseEvent>, reply: UpstreamReply, caller: CallerChannel) {
        if (!hasStarted) {
            hasStarted = true
            caller.start(reply.status, reply.headers)
        }
        eventCount += events.size
        caller.write(events.singleOrNull()?.bytes ?: joined(events))
        lastEventId = events.lastOrNull { it.id != null }?.id ?: lastEventId
    }

    private fun joined(events: List<SseEvent>): ByteArray {
        val bytes = ByteArrayOutputStream()
        events.forEach { bytes.write(it.bytes) }
        return bytes.toByteArray()
    }

    private fun orderError(event: SseEvent): String? {
        val last = lastEventId
        val id = event.id
        return if (id != null && last != null && id <= last) "event $id was sent after event $last" else null
    }
}
