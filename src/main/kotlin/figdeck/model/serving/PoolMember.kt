package figdeck.model.serving

import figdeck.model.Upstream

/**
 * An upstream as it announces itself.
 *
 * @property isLeaving whether it takes no new work because it will end.
 */
public data class PoolMember(
    public val upstream: Upstream,
    public val pool: PoolName,
    public val isLeaving: Boolean,
)
