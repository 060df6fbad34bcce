package figdeck.model.serving

import figdeck.model.FaultCollector
import figdeck.model.KeyHash
import figdeck.model.Limit
import figdeck.model.Region
import figdeck.model.TeamId
import figdeck.model.hashKey

/**
 * A team as configured for the front end.
 *
 * @property keys the hashes of its keys.
 * @property priority the priority of the team, which overrides that of the route; null to use the route's priority.
 * @property limit the rate limit of the team across all hosts; null for no limit.
 * @property homes the regions to which its requests are confined; empty for no confinement.
 */
public data class ServingTeam(
    public val id: TeamId,
    public val keys: Set<KeyHash>,
    public val priority: Int?,
    public val limit: Limit?,
    public val homes: Set<Region> = emptySet(),
)

/** Builds a [ServingTeam]. */
public class ServingTeamBuilder internal constructor(private val id: String) {
    private val keys = mutableSetOf<KeyHash>()

    /** The priority of the team; null to use the route's priority. */
    public var priority: Int? = null

    /** The rate limit in requests a second across all hosts; 0 for no limit. */
    public var ratePerSecond: Double = 0.0

    /** The burst limit in requests across all hosts. */
    public var burst: Int = 0

    /** The names of the regions to which its requests are confined; empty for no confinement. */
    public var homes: List<String> = emptyList()

    /** Adds [key] in the form in which callers send it. */
    public fun key(key: String) {
        keys += hashKey(key)
    }

    internal fun build(faults: FaultCollector): ServingTeam? {
        val teamId = faults.attempt("id") { TeamId(id) }
        faults.expect(ratePerSecond >= 0, "ratePerSecond", "$ratePerSecond is negative: use 0 for no limit")
        val limit = if (ratePerSecond > 0) Limit(ratePerSecond, burst.coerceAtLeast(1)) else null
        val homeRegions = faults.attempt("homes") { homes.map { Region(it) }.toSet() }
        return teamId?.let { ServingTeam(it, keys, priority, limit, homeRegions.orEmpty()) }
    }
}
