package figdeck.model.serving

import figdeck.model.FaultCollector
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TIMEOUT = 5.seconds
private val DEFAULT_LATENCY_OBJECTIVE = 1.seconds

/**
 * A host name and path prefix, and how requests under them are served.
 *
 * @property pools where requests go; at least one.
 * @property timeout the longest time until the final answer.
 * @property latencyObjective the time within which an answer, or the first event of a stream, is on time.
 * @property maxAttempts the most upstreams that may run one request.
 * @property priority the rank of the route, 0 being the most urgent.
 * @property open whether callers without a key may use it.
 * @property batch the terms of batch jobs; null on all other routes.
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
)

/** Builds a [ServingRoute]. */
public class ServingRouteBuilder internal constructor(private val name: String) {
    private val pools = mutableListOf<Pair<String, Int>>()

    /** The host name that callers ask for. */
    public var host: String = ""

    /** The beginning of the path, between slashes. */
    public var prefix: String = "/"

    /** What the requests are. */
    public var kind: CallKind = CallKind.NON_IDEMPOTENT

    /** The longest time until the final answer. */
    public var timeout: Duration = DEFAULT_TIMEOUT

    /** The time within which an answer is on time. */
    public var latencyObjective: Duration = DEFAULT_LATENCY_OBJECTIVE

    /** The most upstreams that may run one request. */
    public var maxAttempts: Int = 1

    /** The rank of the route, 0 being the most urgent. */
    public var priority: Int = 0

    /** Whether callers without a key may use it. */
    public var open: Boolean = false

    /** The terms of batch jobs. */
    public var batch: BatchPolicy? = null

    /** Sends [weight] parts of the requests to the pool [name]. */
    public fun pool(name: String, weight: Int = 1) {
        pools += name to weight
    }

    internal fun build(faults: FaultCollector): ServingRoute? {
        val shares = pools.mapIndexedNotNull { i, (pool, weight) ->
            faults.attempt("pools[$i]") { PoolShare(PoolName(pool), weight) }
        }
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
        )
    }
}

private fun isPrefix(text: String): Boolean = text.startsWith('/') && text.endsWith('/')
