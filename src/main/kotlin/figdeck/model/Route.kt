package figdeck.model

/**
 * A path to plain services.
 *
 * @property idempotent whether a call may be sent again after an uncertain loss.
 * @property open whether callers without a key may use it.
 */
public data class Route(
    public val name: RouteName,
    public val upstreams: List<UpstreamId>,
    public val idempotent: Boolean,
    public val open: Boolean,
)
