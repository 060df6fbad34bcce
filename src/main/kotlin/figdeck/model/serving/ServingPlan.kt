package figdeck.model.serving

import arrow.core.Either
import figdeck.model.Fault
import figdeck.model.FaultCollector

private const val DEFAULT_BODY_BYTES = 4 * 1024 * 1024

/**
 * One version of what operators have put in force: the routes and the teams.
 *
 * @property version rises with each change, in uneven steps.
 * @property maxBodyBytes the longest body of a request.
 */
public data class ServingPlan(
    public val version: Long,
    public val routes: List<ServingRoute>,
    public val teams: List<ServingTeam>,
    public val maxBodyBytes: Int,
)

/** Builds a [ServingPlan]. */
public class ServingPlanBuilder internal constructor() {
    private val routes = mutableListOf<ServingRouteBuilder>()
    private val teams = mutableListOf<ServingTeamBuilder>()

    /** The version of the plan. */
    public var version: Long = 0

    /** The longest body of a request. */
    public var maxBodyBytes: Int = DEFAULT_BODY_BYTES

    /** Adds the route [name]. */
    public fun route(name: String, block: ServingRouteBuilder.() -> Unit) {
        routes += ServingRouteBuilder(name).apply(block)
    }

    /** Adds the team [id]. */
    public fun team(id: String, block: ServingTeamBuilder.() -> Unit) {
        teams += ServingTeamBuilder(id).apply(block)
    }

    internal fun build(): Either<List<Fault>, ServingPlan> {
        val faults = FaultCollector("")
        faults.expect(version >= 0, "version", "$version is negative: versions start at 0")
        val builtRoutes = routes.mapIndexedNotNull { i, route -> route.build(faults.part("routes[$i]")) }
        val builtTeams = teams.mapIndexedNotNull { i, team -> team.build(faults.part("teams[$i]")) }
        return faults.result { ServingPlan(version, builtRoutes, builtTeams, maxBodyBytes) }
    }
}

/** Builds a plan, or gives every fault in it. */
public fun servingPlan(block: ServingPlanBuilder.() -> Unit): Either<List<Fault>, ServingPlan> =
    ServingPlanBuilder().apply(block).build()
