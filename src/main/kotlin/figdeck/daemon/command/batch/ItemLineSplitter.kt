package figdeck.daemon.command.batch

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()

/** A line of an upload; [text] is null when the line exceeds the maximum length. */
internal data class ItemLine(val text: String?)

/** Splits a byte stream into lines. Buffers at most [maxBytes] of a line and skips blank lines. */
internal class ItemLineSplitter(private val maxBytes: Int) {
    private val partial = ByteArrayOutputStream()
    private var tooLong = false

    /** Appends [chunk] and returns the lines that it completes. */
    fun split(chunk: ByteArray): List<ItemLine> {
        val lines = mutableListOf<ItemLine>()
        var from = 0
        while (from < chunk.size) {
            var end = from
            while (end < chunk.size && chunk[end] != LINE_FEED) {
                end++
            }
            append(chunk, from, end)
            if (end < chunk.size) {
                endLine()?.let { lines += it }
            }
            from = end + 1
        }
        return lines
    }

    /** Ends the stream and returns its last line if no line feed ended it. */
    fun finish(): ItemLine? = endLine()

    private fun append(chunk: ByteArray, from: Int, end: Int) {
        if (partial.size() + end - from > maxBytes) {
            tooLong = true
            partial.reset()
        }
        if (!tooLong) {
            partial.write(chunk, from, end - from)
        }
    }

    private fun endLine(): ItemLine? {
        val text = partial.toString(Charsets.UTF_8).trimEnd('\r')
        val line = ItemLine(if (tooLong) null else text)
        partial.reset()
        tooLong = false
        return line.takeIf { it.text == null || it.text.isNotBlank() }
    }
}
