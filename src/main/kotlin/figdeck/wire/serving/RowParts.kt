package figdeck.wire.serving

/** A quarter of what a row holds, since a character may take three bytes. */
internal const val MAX_ROW_CHARACTERS = 16_000
private const val PADDED_NUMBER_DIGITS = 5

/** [value] as a part of a key, so that keys sort like numbers. */
internal fun padded(value: Int): String = value.toString().padStart(PADDED_NUMBER_DIGITS, '0')
