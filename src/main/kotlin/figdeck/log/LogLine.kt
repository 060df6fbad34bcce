package figdeck.log

/** Writes the fields of a log line as JSON, in the order in which they are added. */
internal class LogLine(private val text: StringBuilder) {
    /** Adds a text. */
    fun put(name: String, value: String) {
        text.append(",\"").append(name).append("\":\"")
        value.forEach { appendEscaped(it) }
        text.append('"')
    }

    /** Adds a number. */
    fun put(name: String, value: Long) {
        text.append(",\"").append(name).append("\":").append(value)
    }

    /** Adds a Boolean. */
    fun put(name: String, value: Boolean) {
        text.append(",\"").append(name).append("\":").append(value)
    }

    private fun appendEscaped(character: Char) {
        when {
            character == '"' || character == '\\' -> text.append('\\').append(character)
            character < ' ' -> text.append(' ')
            else -> text.append(character)
        }
    }
}
