package figdeck.http.client

/** The beginning of a status line; `0` stands for any digit. */
private const val PATTERN = "HTTP/0.0 000"

/** The number of bytes by which a status line is recognized. */
internal const val STATUS_LINE_PREFIX_BYTES: Int = PATTERN.length

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

    /** Whether a match began in the bytes so far and is complete in them or with [following]. */
    fun isFoundBefore(following: ByteArray): Boolean {
        val remaining = PATTERN.drop(matched)
        return isFound || (matched > 0 && remaining.length <= following.size && following.matches(remaining))
    }

    /** A mismatch never hides another match: the first character of the pattern occurs in it only once. */
    private fun restart(byte: Byte): Int = if (byte.matches(PATTERN[0])) 1 else 0
}

private fun ByteArray.matches(pattern: String): Boolean = pattern.indices.all { this[it].matches(pattern[it]) }

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
