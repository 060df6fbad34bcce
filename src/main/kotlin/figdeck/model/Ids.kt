package figdeck.model

/** The maximum length of an identifier, in characters. */
public const val MAX_ID_LENGTH: Int = 128

/** Whether [value] is an identifier. Every id in every message is checked, so this uses no regular expression. */
internal fun isId(value: String): Boolean =
    value.length in 1..MAX_ID_LENGTH && isLetterOrDigit(value[0]) && value.all { isLetterOrDigit(it) || it in "._-" }

private fun isLetterOrDigit(char: Char): Boolean = char in 'a'..'z' || char in '0'..'9' || char in 'A'..'Z'

internal fun requireId(kind: String, value: String) {
    require(isId(value)) {
        "$kind '$value' is not an identifier: use up to $MAX_ID_LENGTH letters, digits, '.', '_' and '-', " +
            "starting with a letter or digit"
    }
}
