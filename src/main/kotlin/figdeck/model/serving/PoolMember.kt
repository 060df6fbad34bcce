package figdeck.model.serving

import figdeck.model.Upstream
import kotlin.time.Duration

/**
 * The announcement of an upstream in its pool.
 *
 * @property isLeaving whether it accepts no new work because it is shutting down.
 * @property coldRemaining how long it stayed cold when it wrote the announcement; null if it doesn't say so.
 * @property entryHash a hash of the announcement's text, which tells a new announcement with equal values from one that
 * is read again; null if it isn't known.
 */
public data class PoolMember(
    public val upstream: Upstream,
    public val pool: PoolName,
    public val isLeaving: Boolean,
    public val coldRemaining: Duration? = null,
    public val entryHash: Long? = null,
) {
    /** The start of the upstream that wrote the announcement. */
    public val start: UpstreamStart get() = UpstreamStart(upstream.id, upstream.startedAtMillis)
}
