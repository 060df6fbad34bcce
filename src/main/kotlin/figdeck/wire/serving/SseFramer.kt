package figdeck.wire.serving

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/**
 * One event of a stream.
 *
 * @property bytes the event as it was sent, with the empty line that ends it.
 * @property id its number; null when it has none.
 * @property data its data lines, joined by line feeds.
 */
public data class SseEvent(
    public val bytes: ByteArray,
    public val id: Long?,
    public val data: String,
)

/** Splits the body of a stream into whole events. */
public class SseFramer {
    private val partial = ByteArrayOutputStream()
    private var lineLength = 0

    /** Whether a part of an event has arrived whose end is still missing. */
    public val hasPartialEvent: Boolean get() = partial.size() > 0

    /** Takes the next [chunk] and returns the events that are whole now. */
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
