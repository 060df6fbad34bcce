package figdeck.model.serving

import figdeck.model.FaultCollector
import figdeck.model.Region
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TIMEOUT = 5.seconds
private val DEFAULT_LATENCY_OBJECTIVE = 1.seconds

/**
 * A host name and path prefix, and the rules for serving requests that match them.
 *
 * @property pools the pools that serve the requests; at least one.
 * @property timeout the maximum time until the response is complete.
 * @property latencyObjective the target time for the response, or for the first event of a stream.
 * @property maxAttempts the maximum number of upstreams that may run a request.
 * @property priority the priority of the route; 0 is the most urgent.
 * @property open whether callers without a key may use the route.
 * @property batch the policy for batch jobs; null on all other routes.
 * @property homes the regions to which the requests are confined; empty for no confinement.
 */
public data class ServingRoute(
    public val name: String,
    public val host: String,
    public val prefix: String,
    public val kind: CallKind,
    public val pools: List<PoolShare>,
    public val timeout: Duration,
    public val latencyObjective: Duration,
    public val maxAttempts: Int,
    public val priority: Int,
    public val open: Boolean,
    public val batch: BatchPolicy?,
    public val homes: Set<Region> = emptySet(),
)

/** Builds a [ServingRoute]. */
public class ServingRouteBuilder internal constructor(private val name: String) {
    private val pools = mutableListOf<Pair<String, Int>>()

    /** The host name in the requests of callers. */
    public var host: String = ""

    /** The path prefix, which begins and ends with a slash. */
    public var prefix: String = "/"

    /** The kind of the requests. */
    public var kind: CallKind = CallKind.NON_IDEMPOTENT

    /** The maximum time until the response is complete. */
    public var timeout: Duration = DEFAULT_TIMEOUT

    /** The target time for the response, or for the first event of a stream. */
    public var latencyObjective: Duration = DEFAULT_LATENCY_OBJECTIVE

    /** The maximum number of upstreams that may run a request. */
    public var maxAttempts: Int = 1

    /** The priority of the route; 0 is the most urgent. */
    public var priority: Int = 0

    /** Whether callers without a key may use the route. */
    public var open: Boolean = false

    /** The policy for batch jobs; null on all other routes. */
    public var batch: BatchPolicy? = null

    /** The names of the regions to which the requests are confined; empty for no confinement. */
    public var homes: List<String> = emptyList()

    /** Adds the pool [name], which receives requests in proportion to [weight]. */
    public fun pool(name: String, weight: Int = 1) {
        pools += name to weight
    }

    internal fun build(faults: FaultCollector): ServingRoute? {
        val shares = pools.mapIndexedNotNull { i, (pool, weight) ->
            faults.attempt("pools[$i]") { PoolShare(PoolName(pool), weight) }
        }
        val homeRegions = faults.attempt("homes") { homes.map { Region(it) }.toSet() }
        faults.expect(host.isNotBlank(), "host", "the host is empty: name the host that callers ask for")
        faults.expect(isPrefix(prefix), "prefix", "'$prefix' is not a prefix: begin and end it with a slash")
        faults.expect(shares.any { it.weight > 0 }, "pools", "no pool has a weight: give one at least")
        faults.expect(timeout.isPositive(), "timeout", "$timeout is too short: use more than zero")
        faults.expect((kind == CallKind.BATCH) == (batch != null), "batch", "set it on routes of batch jobs alone")
        return ServingRoute(
            name = name,
            host = host.lowercase(),
            prefix = prefix,
            kind = kind,
            pools = shares.filter { it.weight > 0 },
            timeout = timeout,
            latencyObjective = latencyObjective,
            maxAttempts = maxAttempts.coerceAtLeast(1),
            priority = priority,
            open = open,
            batch = batch,
            homes = homeRegions.orEmpty(),
        )
    }
}

private fun isPrefix(text: String): Boolean = text.startsWith('/') && text.endsWith('/')
