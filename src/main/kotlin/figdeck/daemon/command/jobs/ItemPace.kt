package figdeck.daemon.command.jobs

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val NEW_WEIGHT = 0.1
private const val FIRST_EVENTS = 150.0

/** What an event takes before any was seen; an engine makes eight tokens in about this time. */
private val FIRST_EVENT_TIME = 24.milliseconds

/** How fast items have run on this host, as moving averages. */
internal class ItemPace {
    private val state = AtomicReference(Pace(FIRST_EVENTS, FIRST_EVENT_TIME))

    /** Notes a run that made [events] in [time]. */
    fun noteRun(events: Int, time: Duration) {
        if (events > 0) {
            state.updateAndGet { it.copy(eventTime = mean(it.eventTime, time / events)) }
        }
    }

    /** Notes an item whose whole output has [events]. */
    fun noteWhole(events: Int) {
        state.updateAndGet { it.copy(events = it.events * (1 - NEW_WEIGHT) + events * NEW_WEIGHT) }
    }

    /** How long an item with [events] is likely to need a slot yet. */
    fun timeLeft(events: Int): Duration = state.get().let { it.eventTime * (it.events - events).coerceAtLeast(1.0) }

    private fun mean(known: Duration, next: Duration) = known * (1 - NEW_WEIGHT) + next * NEW_WEIGHT

    private data class Pace(
        val events: Double,
        val eventTime: Duration,
    )
}
