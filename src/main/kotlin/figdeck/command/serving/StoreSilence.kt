package figdeck.command.serving

import figdeck.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The store counts as unavailable if it has not answered for longer than this while this host ran. */
private val OUTAGE_THRESHOLD: Duration = 2_500.milliseconds

/**
 * This host did not run if it has recorded nothing for longer than this. A shorter pause and a wait of two seconds
 * for changes stay below [OUTAGE_THRESHOLD].
 */
private val PAUSE_THRESHOLD: Duration = 500.milliseconds

/**
 * How long the store has not answered, counted while this host runs. Entries expire in an outage, because upstreams
 * can't renew them; in a pause of this host only those of upstreams that have left are removed.
 *
 * @property countedUntil when the silence was last counted; null before that.
 * @property hasFailedCalls whether a call has failed since the last answer.
 */
public data class StoreSilence(
    public val countedUntil: Moment? = null,
    public val duration: Duration = Duration.ZERO,
    public val hasFailedCalls: Boolean = false,
)

/** Whether the silence is long enough for an outage of the store. */
internal val StoreSilence.isOutage: Boolean get() = duration > OUTAGE_THRESHOLD

/** Counts the silence until [now], without pauses of this host and the waits for changes that they interrupt. */
internal fun StoreSilence.until(now: Moment): StoreSilence {
    val step = countedUntil?.let { now - it } ?: Duration.ZERO
    return copy(
        countedUntil = now,
        duration = when {
            step <= PAUSE_THRESHOLD -> duration + step
            hasFailedCalls -> duration
            else -> Duration.ZERO
        },
    )
}
