package figdeck.log

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

private const val QUEUE_LINES = 4096

/** The lines of this process. */
internal val standardOutput: LineWriter by lazy { LineWriter(System.out) }

/**
 * Writes lines to [output] on a thread of its own. When the reader is too slow, lines are dropped and their number is
 * written later; whoever logs never waits.
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
