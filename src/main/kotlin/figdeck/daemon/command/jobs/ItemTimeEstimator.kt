package figdeck.daemon.command.jobs

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val SAMPLE_WEIGHT = 0.1
private const val INITIAL_EVENT_COUNT = 150.0

/** The assumed time per event before the first sample. An engine generates eight tokens in about this time. */
private val INITIAL_EVENT_TIME = 24.milliseconds

/** Estimates the run time of items from moving averages over the items that ran on this host. */
internal class ItemTimeEstimator {
    private val state = AtomicReference(Averages(INITIAL_EVENT_COUNT, INITIAL_EVENT_TIME))

    /** Records a run that generated [events] in [time]. */
    fun recordRun(events: Int, time: Duration) {
        if (events > 0) {
            state.updateAndGet { it.copy(eventTime = movingAverage(it.eventTime, time / events)) }
        }
    }

    /** Records a completed item whose output has [events]. */
    fun recordCompletedItem(events: Int) {
        state.updateAndGet { it.copy(events = it.events * (1 - SAMPLE_WEIGHT) + events * SAMPLE_WEIGHT) }
    }

    /** Estimates how much longer an item that has generated [events] needs a slot. */
    fun estimateTimeLeft(events: Int): Duration =
        state.get().let { it.eventTime * (it.events - events).coerceAtLeast(1.0) }

    private fun movingAverage(average: Duration, next: Duration) = average * (1 - SAMPLE_WEIGHT) + next * SAMPLE_WEIGHT

    private data class Averages(
        val events: Double,
        val eventTime: Duration,
    )
}
