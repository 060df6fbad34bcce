package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.http.client.containsStatusLine
import figdeck.model.Moment
import figdeck.wire.serving.SseEvent
import figdeck.wire.serving.SseFramer
import kotlin.time.Duration

/** Larger than an event with all tokens of an answer, and small enough for as many streams as a host carries. */
private const val MAX_EVENT_BYTES = 256 * 1024

private const val COMMENT_START = ':'.code.toByte()

/** The names of the fields of an event; the name of a comment is empty. */
private val EVENT_FIELDS = setOf("", "data", "event", "id", "retry")

/**
 * Reads the events of one upstream's stream and judges its progress.
 *
 * Only complete events with content are progress. A stream that sends single bytes, comments or the beginning of an
 * event without end fails after [maxPause], however often bytes arrive.
 */
internal class EventReader(
    private val maxPause: Duration,
    startedAt: Moment,
) {
    private val framer = SseFramer()
    private var progressAt = startedAt

    /** Whether the stream so far ends within an event. */
    val hasPartialEvent: Boolean get() = framer.hasPartialEvent

    /** Returns the events that [chunk] completes, or the reason why the rest of the stream is of no use. */
    fun read(chunk: ByteArray, now: Moment): Either<String, List<SseEvent>> {
        val events = framer.decode(chunk)
        if (events.any { it.hasContent }) {
            progressAt = now
        }
        return when {
            framer.partialBytes > MAX_EVENT_BYTES -> "an event is longer than $MAX_EVENT_BYTES bytes".left()
            events.any { it.holdsResponseHead } -> "an event holds the head of another response".left()
            now - progressAt > maxPause -> "no event was completed for ${now - progressAt}".left()
            else -> events.right()
        }
    }

    /** Excludes [duration], in which the events were passed on and nothing was read, from the current pause. */
    fun exclude(duration: Duration) {
        progressAt += duration
    }
}

internal val SseEvent.hasContent: Boolean get() = id != null || data.isNotEmpty()

/**
 * Whether the head of a response was joined to the event: a late answer may fill a chunk that broke off. Its status
 * line is followed by headers, which are no fields of an event; in a text it is part of a field. If the status line
 * went into the length of the chunk, only headers are left.
 */
private val SseEvent.holdsResponseHead: Boolean
    get() = when {
        bytes.containsStatusLine() -> lines.dropWhile { !it.containsStatusLine() }.any { !it.isField }
        bytes.firstOrNull() == COMMENT_START || hasContent -> false
        else -> lines.any() && lines.none { it.isField }
    }

/** The lines that are not empty, split only as far as they are looked at: an upstream may send any number of events. */
private val SseEvent.lines: Sequence<String>
    get() = bytes.decodeToString().lineSequence().filter { it.isNotEmpty() }

private val String.isField: Boolean get() = substringBefore(':') in EVENT_FIELDS
