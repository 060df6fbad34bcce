package figdeck.model

/**
 * A route to plain services.
 *
 * @property idempotent whether a call that may have run can be sent again.
 * @property open whether callers without a key may use the route.
 */
public data class Route(
    public val name: RouteName,
    public val upstreams: List<UpstreamId>,
    public val idempotent: Boolean,
    public val open: Boolean,
)

/** Builds a [Route]. */
public class RouteBuilder internal constructor(private val name: String) {
    /** The services behind the route. */
    public var upstreams: List<String> = emptyList()

    /** Whether a call that may have run can be sent again. */
    public var idempotent: Boolean = false

    /** Whether callers without a key may use the route. */
    public var open: Boolean = false

    internal fun build(faults: FaultCollector): Route? {
        val routeName = faults.attempt("name") { RouteName(name) }
        val ids = upstreamIds(upstreams, faults)
        return Route(routeName ?: return null, ids, idempotent, open)
    }
}
