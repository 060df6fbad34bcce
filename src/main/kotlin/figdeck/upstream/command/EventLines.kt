package figdeck.upstream.command

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val DATA_PREFIX = "data:"

/** Splits a stream of server-sent events into the data of its events. */
internal class EventLines {
    private val partial = ByteArrayOutputStream()

    /** Takes the next [chunk] and returns the data lines that are whole now. */
    fun take(chunk: ByteArray): List<String> {
        val lines = mutableListOf<String>()
        for (byte in chunk) {
            if (byte == LINE_FEED) {
                lines += partial.toString(Charsets.UTF_8).trimEnd('\r')
                partial.reset()
            } else {
                partial.write(byte.toInt())
            }
        }
        return lines
            .filter { it.startsWith(DATA_PREFIX) }
            .map { it.removePrefix(DATA_PREFIX).trimStart() }
    }
}
