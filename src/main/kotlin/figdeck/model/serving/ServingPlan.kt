package figdeck.model.serving

import arrow.core.Either
import figdeck.model.Fault
import figdeck.model.FaultCollector

private const val DEFAULT_BODY_BYTES = 4 * 1024 * 1024

/**
 * A version of the routes and teams that operators have put in force.
 *
 * @property version increases with each change, not always by one.
 * @property maxBodyBytes the maximum size of a request body.
 * @property pools the configured pools. A pool that is not listed has the defaults of [ServingPool].
 */
public data class ServingPlan(
    public val version: Long,
    public val routes: List<ServingRoute>,
    public val teams: List<ServingTeam>,
    public val maxBodyBytes: Int,
    public val pools: List<ServingPool> = emptyList(),
)

/** Builds a [ServingPlan]. */
public class ServingPlanBuilder internal constructor() {
    private val routes = mutableListOf<ServingRouteBuilder>()
    private val teams = mutableListOf<ServingTeamBuilder>()
    private val pools = mutableListOf<ServingPoolBuilder>()

    /** The version of the plan. */
    public var version: Long = 0

    /** The maximum size of a request body. */
    public var maxBodyBytes: Int = DEFAULT_BODY_BYTES

    /** Adds the route [name]. */
    public fun route(name: String, block: ServingRouteBuilder.() -> Unit) {
        routes += ServingRouteBuilder(name).apply(block)
    }

    /** Adds the team [id]. */
    public fun team(id: String, block: ServingTeamBuilder.() -> Unit) {
        teams += ServingTeamBuilder(id).apply(block)
    }

    /** Configures the pool [name]. */
    public fun pool(name: String, block: ServingPoolBuilder.() -> Unit) {
        pools += ServingPoolBuilder(name).apply(block)
    }

    internal fun build(): Either<List<Fault>, ServingPlan> {
        val faults = FaultCollector("")
        faults.expect(version >= 0, "version", "$version is negative: versions start at 0")
        val builtRoutes = routes.mapIndexedNotNull { i, route -> route.build(faults.part("routes[$i]")) }
        val builtTeams = teams.mapIndexedNotNull { i, team -> team.build(faults.part("teams[$i]")) }
        val builtPools = pools.mapIndexedNotNull { i, pool -> pool.build(faults.part("pools[$i]")) }
        return faults.result { ServingPlan(version, builtRoutes, builtTeams, maxBodyBytes, builtPools) }
    }
}

/** Builds a plan. Returns all faults at once if it is invalid. */
public fun servingPlan(block: ServingPlanBuilder.() -> Unit): Either<List<Fault>, ServingPlan> =
    ServingPlanBuilder().apply(block).build()
