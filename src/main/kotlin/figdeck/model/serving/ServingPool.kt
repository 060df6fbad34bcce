package figdeck.model.serving

import figdeck.model.FaultCollector
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The load that an upstream tolerates shortly after its start.
 *
 * @property duration how long an upstream stays cold if its entry doesn't say so.
 * @property requestsPerSecond the requests per second that a cold upstream tolerates from all hosts together. It
 * crashes at rates well above that.
 */
public data class ColdStartPolicy(
    public val duration: Duration,
    public val requestsPerSecond: Double,
)

/**
 * The configuration of a pool.
 *
 * @property coldStart the load that its cold upstreams tolerate; null if they need no protection.
 * @property tokensPerEvent the number of tokens in one event of a stream.
 * @property tokenCapacity the tokens that an engine of the pool holds in memory; null for plain services.
 */
public data class ServingPool(
    public val name: PoolName,
    public val coldStart: ColdStartPolicy? = null,
    public val tokensPerEvent: Int = 1,
    public val tokenCapacity: Long? = null,
)

/** Builds a [ServingPool]. */
public class ServingPoolBuilder internal constructor(private val name: String) {
    /** How many seconds an upstream stays cold if its entry doesn't say so; 0 if it needs no protection. */
    public var coldSeconds: Double = 0.0

    /** The requests per second that a cold upstream tolerates; 0 if it needs no protection. */
    public var coldRequestsPerSecond: Double = 0.0

    /** The number of tokens in one event of a stream. */
    public var tokensPerEvent: Int = 1

    /** The tokens that an engine holds in memory; null for plain services. */
    public var tokenCapacity: Long? = null

    internal fun build(faults: FaultCollector): ServingPool? {
        val pool = faults.attempt("name") { PoolName(name) }
        faults.expect(coldSeconds >= 0, "coldSeconds", "$coldSeconds is negative: use 0 for no cold start")
        faults.expect(
            coldRequestsPerSecond >= 0,
            "coldRequestsPerSecond",
            "$coldRequestsPerSecond is negative: use 0 for no limit",
        )
        faults.expect(tokensPerEvent > 0, "tokensPerEvent", "$tokensPerEvent is too small: use 1 or more")
        val coldStart = if (coldSeconds > 0 && coldRequestsPerSecond > 0) {
            ColdStartPolicy(coldSeconds.seconds, coldRequestsPerSecond)
        } else {
            null
        }
        return pool?.let { ServingPool(it, coldStart, tokensPerEvent, tokenCapacity) }
    }
}
