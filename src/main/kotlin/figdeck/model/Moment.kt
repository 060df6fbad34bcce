package figdeck.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A point in time as one host sees it.
 *
 * Decisions compare [monotonicNanos], which never steps back and means nothing on another host. Records carry
 * [epochMillis], which people read and which no decision between hosts relies on.
 */
public data class Moment(
    public val monotonicNanos: Long,
    public val epochMillis: Long,
) {
    /** The time from [earlier] to this moment. */
    public operator fun minus(earlier: Moment): Duration = (monotonicNanos - earlier.monotonicNanos).nanoseconds

    /** The moment [duration] later. */
    public operator fun plus(duration: Duration): Moment =
        Moment(monotonicNanos + duration.inWholeNanoseconds, epochMillis + duration.inWholeMilliseconds)

    /** Whether this moment lies before [other]. */
    public operator fun compareTo(other: Moment): Int = monotonicNanos.compareTo(other.monotonicNanos)
}

/** Tells the present time. Passed in wherever time is read, so that tests choose it. */
public typealias Clock = () -> Moment

/** The clock of this process. */
public val systemClock: Clock = { Moment(System.nanoTime(), System.currentTimeMillis()) }
