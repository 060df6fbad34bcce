package figdeck.log

import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer

private const val LINE_CHARACTERS = 160
private const val PART_END = ": "

/**
 * Writes tinylog entries as JSON lines to standard output, through the bounded queue that [DecisionLog] also uses.
 * tinylog finds this class by the name `json line` and passes its settings as [properties].
 */
public class JsonLineWriter(
    @Suppress("UnusedPrivateProperty") private val properties: Map<String, String>,
) : Writer {
    override fun getRequiredLogEntryValues(): Collection<LogEntryValue> =
        setOf(LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION)

    override fun write(entry: LogEntry) {
        val message = entry.message.orEmpty()
        val text = StringBuilder(LINE_CHARACTERS).append("{\"t\":").append(System.currentTimeMillis())
        LogLine(text).apply {
            put("part", message.substringBefore(PART_END, "figdeck"))
            put("level", entry.level.name.lowercase())
            put("message", message.substringAfter(PART_END))
            entry.exception?.let { put("cause", it.toString()) }
        }
        standardOutput.write(text.append('}').toString())
    }

    override fun flush(): Unit = Unit

    override fun close(): Unit = Unit
}
