package figdeck.model

/** The maximum length of an identifier, in characters. */
public const val MAX_ID_LENGTH: Int = 128

private val ID_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]*")

internal fun isId(value: String): Boolean = value.length <= MAX_ID_LENGTH && ID_PATTERN.matches(value)

internal fun requireId(kind: String, value: String) {
    require(isId(value)) {
        "$kind '$value' is not an identifier: use up to $MAX_ID_LENGTH letters, digits, '.', '_' and '-', " +
            "starting with a letter or digit"
    }
}
