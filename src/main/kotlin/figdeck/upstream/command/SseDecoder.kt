package figdeck.upstream.command

private const val LINE_FEED = '\n'.code.toByte()
private const val DATA_PREFIX = "data:"

/** Decodes a stream of server-sent events into the data of its events. */
internal class SseDecoder {
    private var partial = ByteArray(0)

    /** Decodes the next [chunk] and returns the data of the lines that it completes. */
    fun decode(chunk: ByteArray): List<String> {
        val bytes = if (partial.isEmpty()) chunk else partial + chunk
        val lines = mutableListOf<String>()
        var start = 0
        for (end in bytes.indices) {
            if (bytes[end] == LINE_FEED) {
                lines += bytes.decodeToString(start, end)
                start = end + 1
            }
        }
        partial = bytes.copyOfRange(start, bytes.size)
        return lines
            .filter { it.startsWith(DATA_PREFIX) }
            .map { it.removePrefix(DATA_PREFIX).trim() }
    }
}
