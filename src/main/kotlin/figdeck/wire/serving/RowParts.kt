package figdeck.wire.serving

import figdeck.store.command.utf8Bytes

/**
 * The maximum number of characters of a row's value: a quarter of what a row holds, because a character may take three
 * bytes.
 */
internal const val MAX_ROW_CHARACTERS = 16_000

/** The maximum number of bytes of a row's value. */
internal const val MAX_ROW_BYTES = 3 * MAX_ROW_CHARACTERS

/** What the escape of a control character adds to its one byte. */
private const val ESCAPE_BYTES = 5
private const val PADDED_NUMBER_DIGITS = 5

/**
 * Splits [text] into the values of consecutive rows. Surrogate pairs are kept whole, because each row is encoded in
 * UTF-8 by itself, and half a pair has no encoding.
 */
internal fun splitIntoRowValues(text: String): List<String> = buildList {
    var start = 0
    while (start < text.length) {
        val end = text.rowEnd(start)
        add(text.substring(start, end))
        start = end
    }
}

private fun String.rowEnd(start: Int): Int {
    val end = minOf(start + MAX_ROW_CHARACTERS, length)
    val cutsPair = end < length && this[end - 1].isHighSurrogate() && this[end].isLowSurrogate()
    return if (cutsPair) end - 1 else end
}

/** Pads [value] with zeros so that keys containing it sort in numeric order. */
internal fun padded(value: Int): String = value.toString().padStart(PADDED_NUMBER_DIGITS, '0')

/** The bytes in which [text] is encoded within a JSON string, at most. */
internal fun jsonBytes(text: String): Int = utf8Bytes(text) + text.sumOf { character ->
    when {
        character == '"' || character == '\\' -> 1
        character < ' ' -> ESCAPE_BYTES
        else -> 0
    }
}
