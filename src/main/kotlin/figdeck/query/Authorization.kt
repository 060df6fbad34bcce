package figdeck.query

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import figdeck.model.ModelPool
import figdeck.model.Refusal
import figdeck.model.Route
import figdeck.model.RouteName
import figdeck.model.Team
import figdeck.model.Work
import figdeck.model.hashKey

/** The team to which the [key] of a request belongs. */
public fun ConfigurationIndex.teamOf(key: String?): Either<Refusal, Team> {
    if (key == null) {
        return Refusal.MissingKey.left()
    }
    return teamsByKey[hashKey(key)]?.let { teams[it] }?.right() ?: Refusal.UnknownKey.left()
}

/** The pool that serves [chat] for [team], or why the team can't run it. */
public fun ConfigurationIndex.poolFor(team: Team, chat: Work.Chat): Either<Refusal, ModelPool> = either {
    val pool = models[chat.model].takeIf { chat.model in team.models }
    ensure(pool != null) { Refusal.ModelNotFound(chat.model.value) }
    ensure(chat.maxTokens <= pool.maxTokens) { Refusal.TooManyTokens(chat.maxTokens, pool.maxTokens) }
    pool
}

/** A route and the team that calls it; [team] is null if the route is open and the request has no key. */
public data class RouteAccess(
    public val route: Route,
    public val team: Team?,
)

/** Authorizes a call of the route [name] with [key]. */
public fun ConfigurationIndex.accessTo(name: String, key: String?): Either<Refusal, RouteAccess> = either {
    val route = runCatching { RouteName(name) }.getOrNull()?.let { routes[it] }
    if (route != null && route.open && key == null) {
        RouteAccess(route, null)
    } else {
        val team = teamOf(key).bind()
        ensure(route != null && (route.open || route.name in team.routes)) { Refusal.RouteNotFound(name) }
        RouteAccess(route, team)
    }
}
