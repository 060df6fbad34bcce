package figdeck.log

private const val LINE_CHARACTERS = 200

/** Writes one JSON line for each decision of [part]. */
internal class DecisionLog(
    private val part: String,
    private val writer: LineWriter = standardOutput,
) {
    /** Writes [event] for the request or other object [id], with the fields that [fields] adds. */
    inline fun note(event: String, id: String, fields: LogLine.() -> Unit = {}) {
        val text = StringBuilder(LINE_CHARACTERS)
        val line = begin(text, event, id)
        line.fields()
        end(text)
    }

    @PublishedApi
    internal fun begin(text: StringBuilder, event: String, id: String): LogLine {
        text.append("{\"t\":").append(System.currentTimeMillis())
        return LogLine(text).apply {
            put("part", part)
            put("event", event)
            put("id", id)
        }
    }

    @PublishedApi
    internal fun end(text: StringBuilder) {
        writer.write(text.append('}').toString())
    }
}
