package figdeck.wire.serving

/**
 * The maximum number of characters of a row's value: a quarter of what a row holds, because a character may take three
 * bytes.
 */
internal const val MAX_ROW_CHARACTERS = 16_000
private const val PADDED_NUMBER_DIGITS = 5

/** Pads [value] with zeros so that keys containing it sort in numeric order. */
internal fun padded(value: Int): String = value.toString().padStart(PADDED_NUMBER_DIGITS, '0')
