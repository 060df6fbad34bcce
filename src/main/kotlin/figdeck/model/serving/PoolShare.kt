package figdeck.model.serving

/** A pool of a route and its part of the route's requests: [weight] of the sum of all weights. */
public data class PoolShare(
    public val pool: PoolName,
    public val weight: Int,
)
