package figdeck.model.serving

/** A pool of a route. It receives a share of the route's requests in proportion to its [weight]. */
public data class PoolShare(
    public val pool: PoolName,
    public val weight: Int,
)
