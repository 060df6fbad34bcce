package figdeck.command.dispatch

import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val FAILURES_TO_PAUSE = 3
private const val PAUSE_GROWTH = 2
private const val PAUSE_JITTER = 0.5

/** How long a probe may wait for an answer, relative to the pause before it. */
private const val PROBE_TIMEOUT_FACTOR = 2
private val INITIAL_PAUSE = 500.milliseconds
private val MAX_PAUSE = 15.seconds

/**
 * The health of an upstream, which decides whether it gets work.
 *
 * @property failures the number of consecutive failures.
 * @property pausedUntil when a paused upstream is probed, or null while it is in use.
 * @property pause the length of the latest pause before jitter.
 */
public data class Health(
    public val failures: Int,
    public val pausedUntil: Moment?,
    public val pause: Duration,
)

/** The health of an upstream that has not failed. */
public val healthy: Health = Health(0, null, INITIAL_PAUSE)

/** Whether work may be sent at [now], including a probe. */
public fun Health.admits(now: Moment): Boolean = pausedUntil == null || now >= pausedUntil

/** Whether the upstream was paused and has not answered since. */
public val Health.isProbing: Boolean get() = pausedUntil != null

/**
 * How long a probe waits for the answer to begin, or null while the upstream is in use. The probe is the request of a
 * caller, so the first wait is short. It grows with the pause, so that a slow upstream is found to be sound in the end.
 */
public val Health.probeTimeout: Duration? get() = if (isProbing) pause * PROBE_TIMEOUT_FACTOR else null

/** The health after a use ended with [result]. A [jitter] between 0 and 1 spreads the probes of many hosts. */
public fun Health.after(result: SlotOutcome, jitter: Double, now: Moment): Health = when (result) {
    SlotOutcome.ANSWERED -> healthy
    SlotOutcome.ABANDONED -> this
    SlotOutcome.FAILED -> failed(jitter, now)
    SlotOutcome.GONE -> copy(failures = FAILURES_TO_PAUSE).failed(jitter, now)
}

private fun Health.failed(jitter: Double, now: Moment): Health {
    val count = failures + 1
    val next = if (isProbing) minOf(pause * PAUSE_GROWTH, MAX_PAUSE) else INITIAL_PAUSE
    return when {
        count < FAILURES_TO_PAUSE -> copy(failures = count)
        // Requests sent before the pause tell nothing new when they fail, so they do not extend it.
        pausedUntil != null && now < pausedUntil -> copy(failures = count)
        else -> Health(count, now + next * (1 + PAUSE_JITTER * jitter), next)
    }
}
