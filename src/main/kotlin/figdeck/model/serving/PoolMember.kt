package figdeck.model.serving

import figdeck.model.Upstream

/**
 * The announcement of an upstream in its pool.
 *
 * @property isLeaving whether it accepts no new work because it is shutting down.
 */
public data class PoolMember(
    public val upstream: Upstream,
    public val pool: PoolName,
    public val isLeaving: Boolean,
)
