package figdeck.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A point in time as one host sees it.
 *
 * Decisions compare [monotonicNanos], which never decreases and has no meaning on another host. Records contain
 * [epochMillis] for human readers; no decision that involves several hosts depends on it.
 */
public data class Moment(
    public val monotonicNanos: Long,
    public val epochMillis: Long,
) {
    /** Returns the time elapsed from [earlier] to this moment. */
    public operator fun minus(earlier: Moment): Duration = (monotonicNanos - earlier.monotonicNanos).nanoseconds

    /** Returns the moment [duration] after this one. */
    public operator fun plus(duration: Duration): Moment =
        Moment(monotonicNanos + duration.inWholeNanoseconds, epochMillis + duration.inWholeMilliseconds)

    /** Compares the monotonic times of this moment and [other]. */
    public operator fun compareTo(other: Moment): Int = monotonicNanos.compareTo(other.monotonicNanos)
}

/** Returns the current time. Injected wherever time is read, so that tests can control it. */
public typealias Clock = () -> Moment

/** The clock of this process. */
public val systemClock: Clock = { Moment(System.nanoTime(), System.currentTimeMillis()) }
