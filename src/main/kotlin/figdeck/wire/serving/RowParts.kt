package figdeck.wire.serving

/** A quarter of what a row holds, since a character may take three bytes. */
internal const val ROW_CHARACTERS = 16_000
private const val NUMBER_WIDTH = 5

/** [value] as a part of a key, so that keys sort like numbers. */
internal fun keyNumber(value: Int): String = value.toString().padStart(NUMBER_WIDTH, '0')
