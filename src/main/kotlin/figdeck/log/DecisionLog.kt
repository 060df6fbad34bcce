package figdeck.log

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

private const val QUEUE_LINES = 4096
private const val LINE_CHARACTERS = 200

/** The fields of a log line, written as JSON in the order in which they are put. */
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

    /** Adds a truth value. */
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

/**
 * Writes one JSON line for each decision. Lines wait in a bounded queue for a thread of their own; when the reader is
 * too slow, lines are dropped and the number of dropped lines is written later.
 */
internal class DecisionLog(
    private val part: String,
    private val writer: LineWriter,
) {
    /** Writes [event] of the request or thing [id] with the fields that [fields] puts. */
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

/** Writes lines to [output] on a thread of its own. */
internal class LineWriter(
    private val output: PrintStream,
    capacity: Int = QUEUE_LINES,
) {
    private val queue = ArrayBlockingQueue<String>(capacity)
    private val dropped = AtomicLong()

    init {
        Thread({ writeAll() }, "figdeck-log").apply { isDaemon = true }.start()
    }

    /** Queues [line], or counts it as dropped when the queue is full. */
    fun write(line: String) {
        if (!queue.offer(line)) {
            dropped.incrementAndGet()
        }
    }

    private fun writeAll() {
        while (true) {
            output.println(queue.take())
            if (queue.isEmpty()) {
                val lost = dropped.getAndSet(0)
                if (lost > 0) {
                    output.println("{\"part\":\"log\",\"event\":\"dropped\",\"lines\":$lost}")
                }
                output.flush()
            }
        }
    }
}
