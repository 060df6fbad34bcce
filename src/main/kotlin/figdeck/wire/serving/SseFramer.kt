package figdeck.wire.serving

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/**
 * A server-sent event.
 *
 * @property bytes the event as received, including the empty line that ends it.
 * @property id the numeric id; null if there is none.
 * @property data the values of the data lines, joined by line feeds.
 */
public data class SseEvent(
    public val bytes: ByteArray,
    public val id: Long?,
    public val data: String,
)

/** Splits a stream of server-sent events into complete events. */
public class SseFramer {
    private val partial = ByteArrayOutputStream()
    private var lineLength = 0

    /** The number of bytes received since the last complete event. */
    public val partialBytes: Int get() = partial.size()

    /** Whether the chunks so far end within an event. */
    public val hasPartialEvent: Boolean get() = partialBytes > 0

    /** Adds [chunk] and returns the events that it completes. */
    public fun decode(chunk: ByteArray): List<SseEvent> {
        val events = mutableListOf<SseEvent>()
        for (byte in chunk) {
            partial.write(byte.toInt())
            if (byte != LINE_FEED) {
                lineLength += if (byte == CARRIAGE_RETURN) 0 else 1
            } else if (lineLength == 0) {
                events += parseEvent(partial.toByteArray())
                partial.reset()
            } else {
                lineLength = 0
            }
        }
        return events
    }
}

private fun parseEvent(bytes: ByteArray): SseEvent {
    val fields = bytes.decodeToString().lineSequence()
        .filter { it.isNotEmpty() && !it.startsWith(':') }
        .map { it.substringBefore(':') to it.substringAfter(':', "").removePrefix(" ") }
        .toList()
    return SseEvent(
        bytes = bytes,
        id = fields.lastOrNull { it.first == "id" }?.second?.trim()?.toLongOrNull(),
        data = fields.filter { it.first == "data" }.joinToString("\n") { it.second },
    )
}
