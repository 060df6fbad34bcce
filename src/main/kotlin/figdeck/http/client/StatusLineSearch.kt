package figdeck.http.client

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** The beginning of a status line; `0` stands for any digit. */
private const val PATTERN = "HTTP/0.0 000"
private const val FIRST_BYTE = PATTERN[0].code.toByte()

/** The number of bytes by which a status line is recognized. */
internal const val STATUS_LINE_PREFIX_BYTES: Int = PATTERN.length

/** Searches bytes, which may come in pieces, for the beginning of the status line of a response. */
internal class StatusLineSearch {
    private var matched = 0

    /** Whether the bytes so far contain the beginning of a status line. */
    val isFound: Boolean get() = matched == PATTERN.length

    /** Adds the readable bytes of [piece], which are not read. */
    fun add(piece: ByteBuf) {
        var index = piece.readerIndex()
        while (index < piece.writerIndex() && !isFound) {
            if (matched == 0) {
                // Most bytes are skipped at once: a large body passes through the thread that serves others.
                val first = piece.indexOf(index, piece.writerIndex(), FIRST_BYTE)
                matched = if (first < 0) 0 else 1
                index = if (first < 0) piece.writerIndex() else first + 1
            } else {
                val byte = piece.getByte(index)
                matched = if (byte.matches(PATTERN[matched])) matched + 1 else restart(byte)
                index++
            }
        }
    }

    /** Whether a match began in the bytes so far and is complete in them or with [following]. */
    fun isFoundBefore(following: ByteArray): Boolean {
        val remaining = PATTERN.drop(matched)
        return isFound || (matched > 0 && remaining.length <= following.size && following.matches(remaining))
    }

    /** A mismatch never hides another match: the first character of the pattern occurs in it only once. */
    private fun restart(byte: Byte): Int = if (byte == FIRST_BYTE) 1 else 0
}

private fun ByteArray.matches(pattern: String): Boolean = pattern.indices.all { this[it].matches(pattern[it]) }

private fun Byte.matches(expected: Char): Boolean {
    val character = toInt().toChar()
    return if (expected == '0') character in '0'..'9' else character == expected
}

/** Whether these bytes contain the beginning of a status line. */
internal fun ByteArray.containsStatusLine(): Boolean = size >= STATUS_LINE_PREFIX_BYTES && FIRST_BYTE in this &&
    StatusLineSearch().also { it.add(Unpooled.wrappedBuffer(this)) }.isFound

/** Whether this text contains the beginning of a status line. */
internal fun String.containsStatusLine(): Boolean = encodeToByteArray().containsStatusLine()
