package figdeck.bench

import figdeck.model.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs scheduled actions in the order of their virtual times. */
internal class VirtualClock {
    private class Entry(val at: Moment, val order: Long, val action: () -> Unit)

    private val entries = PriorityQueue<Entry>(compareBy<Entry> { it.at.monotonicNanos }.thenBy { it.order })
    private var nextOrder = 0L

    var now = Moment(0, 0)
        private set

    fun schedule(delay: Duration, action: () -> Unit) {
        entries += Entry(now + delay, nextOrder++, action)
    }

    /** Runs the actions due before [end]. Later actions never run. */
    fun runUntil(end: Duration) {
        val endsAt = Moment(0, 0) + end
        while (entries.isNotEmpty() && entries.peek().at < endsAt) {
            val next = entries.poll()
            now = next.at
            next.action()
        }
    }
}
