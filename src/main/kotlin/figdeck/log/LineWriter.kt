package figdeck.log

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

private const val QUEUE_LINES = 4096

/** Writes the log lines of this process to standard output. */
internal val standardOutput: LineWriter by lazy { LineWriter(System.out) }

/**
 * Writes lines to [output] on its own thread. When the queue is full, lines are dropped and counted, and the count is
 * written later, so that logging never blocks the caller.
 */
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
