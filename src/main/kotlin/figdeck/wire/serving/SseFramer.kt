package figdeck.wire.serving

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val FIELD_SEPARATOR = ':'.code.toByte()
private const val ID_FIELD = "id"
private const val DATA_FIELD = "data"

/**
 * A server-sent event.
 *
 * @property bytes the event as received, including the empty line that ends it.
 * @property id the numeric id; null if there is none.
 */
public data class SseEvent(
    public val bytes: ByteArray,
    public val id: Long?,
) {
    /** The values of the data lines, joined by line feeds. */
    public val data: String get() = fieldsOf(bytes, DATA_FIELD).joinToString("\n")
}

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
        var start = 0
        for (index in chunk.indices) {
            val byte = chunk[index]
            if (byte != LINE_FEED) {
                lineLength += if (byte == CARRIAGE_RETURN) 0 else 1
            } else if (lineLength == 0) {
                events += eventOf(takeBytes(chunk, start, index + 1))
                start = index + 1
            } else {
                lineLength = 0
            }
        }
        partial.write(chunk, start, chunk.size - start)
        return events
    }

    /** Returns the bytes kept from earlier chunks and those of [chunk] from [start] to [end]. */
    private fun takeBytes(chunk: ByteArray, start: Int, end: Int): ByteArray {
        if (!hasPartialEvent) {
            return chunk.copyOfRange(start, end)
        }
        partial.write(chunk, start, end - start)
        return partial.toByteArray().also { partial.reset() }
    }
}

private fun eventOf(bytes: ByteArray): SseEvent =
    SseEvent(bytes, fieldsOf(bytes, ID_FIELD).lastOrNull()?.trim()?.toLongOrNull())

/** The values of the fields [name] in an event, in order. Decodes no other line: an upstream may send any number. */
private fun fieldsOf(bytes: ByteArray, name: String): List<String> {
    val values = mutableListOf<String>()
    var start = 0
    while (start < bytes.size) {
        val end = lineEnd(bytes, start)
        if (isField(bytes, start, end, name)) {
            values += bytes.decodeToString(start, end).drop(name.length + 1).removePrefix(" ")
        }
        start = end + 1
    }
    return values
}

private fun lineEnd(bytes: ByteArray, start: Int): Int {
    var end = start
    while (end < bytes.size && bytes[end] != LINE_FEED && bytes[end] != CARRIAGE_RETURN) end++
    return end
}

/** Whether the line from [start] to [end] is the field [name], with or without a value. */
private fun isField(bytes: ByteArray, start: Int, end: Int, name: String): Boolean {
    val nameEnd = start + name.length
    return nameEnd <= end &&
        name.indices.all { bytes[start + it] == name[it].code.toByte() } &&
        (nameEnd == end || bytes[nameEnd] == FIELD_SEPARATOR)
}
