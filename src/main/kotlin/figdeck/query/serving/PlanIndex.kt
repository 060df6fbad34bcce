package figdeck.query.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.KeyHash
import figdeck.model.Known
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.hashKey
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.ServingTeam

/**
 * A plan indexed for look-ups.
 *
 * @property routesByHost the routes of each host, ordered from the longest to the shortest prefix.
 * @property weights the shares of the teams in scarce slots.
 */
public data class PlanIndex(
    public val plan: ServingPlan,
    public val routesByHost: Map<String, List<ServingRoute>>,
    private val routesByName: Map<String, ServingRoute>,
    public val teams: Map<TeamId, ServingTeam>,
    public val teamsByKey: Map<KeyHash, ServingTeam>,
    public val weights: TeamWeights,
) {
    /** The route [name] for work that was accepted under the plan version [acceptedUnder]; null if that is unknown. */
    public fun route(name: String, acceptedUnder: Long?): Known<ServingRoute> = when {
        acceptedUnder != null && plan.version < acceptedUnder -> Known.NotRead
        else -> routesByName[name]?.let { Known.Present(it) } ?: Known.Absent(plan.version)
    }
}

/** Builds the index of [plan]. */
public fun planIndexOf(plan: ServingPlan): PlanIndex = PlanIndex(
    plan = plan,
    routesByHost = plan.routes
        .groupBy { it.host }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } },
    routesByName = plan.routes.associateBy { it.name },
    teams = plan.teams.associateBy { it.id },
    teamsByKey = plan.teams.flatMap { team -> team.keys.map { it to team } }.toMap(),
    weights = teamWeights(plan.teams),
)

/**
 * A route and the team that uses it, or no team if the route is open.
 *
 * @property planVersion the version of the plan that allows it; null if that is unknown.
 */
public data class RouteAccess(
    public val route: ServingRoute,
    public val team: ServingTeam?,
    public val planVersion: Long? = null,
)

/** The route for a request to [path] on [host], with the team that [key] belongs to. */
public fun PlanIndex.access(host: String, path: String, key: String?): Either<Refusal, RouteAccess> {
    val route = routesByHost[host.lowercase()]?.find { path.startsWith(it.prefix) }
    return when {
        route == null -> Refusal.NotFound("a route for $host$path").left()
        route.open -> RouteAccess(route, null, plan.version).right()
        else -> teamOf(key).map { RouteAccess(route, it, plan.version) }
    }
}

/** The team that [key] belongs to. */
public fun PlanIndex.teamOf(key: String?): Either<Refusal, ServingTeam> = when (key) {
    null -> Refusal.MissingKey.left()
    else -> teamsByKey[hashKey(key)]?.right() ?: Refusal.UnknownKey.left()
}
