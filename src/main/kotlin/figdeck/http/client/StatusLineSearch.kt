package figdeck.http.client

/** The beginning of a status line; `0` stands for any digit. */
private const val PATTERN = "HTTP/0.0 000"

/** Searches bytes, which may come in pieces, for the beginning of the status line of a response. */
internal class StatusLineSearch {
    private var matched = 0

    /** Whether the bytes so far contain the beginning of a status line. */
    val isFound: Boolean get() = matched == PATTERN.length

    /** Adds the next byte. */
    fun add(byte: Byte) {
        if (!isFound) {
            matched = if (byte.matches(PATTERN[matched])) matched + 1 else restart(byte)
        }
    }

    /** A mismatch never hides another match: the first character of the pattern occurs in it only once. */
    private fun restart(byte: Byte): Int = if (byte.matches(PATTERN[0])) 1 else 0
}

private fun Byte.matches(expected: Char): Boolean {
    val character = toInt().toChar()
    return if (expected == '0') character in '0'..'9' else character == expected
}

/** Whether this text contains the beginning of a status line. */
internal fun CharSequence.containsStatusLine(): Boolean {
    val search = StatusLineSearch()
    forEach { search.add(it.code.toByte()) }
    return search.isFound
}
