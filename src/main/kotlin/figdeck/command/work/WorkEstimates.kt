package figdeck.command.work

import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** A team within a route. */
public data class TeamRoute(
    public val route: String,
    public val team: TeamId,
)

/**
 * What a host has learned about the work of generations.
 *
 * @property routes the histories of routes, the least recently observed first.
 * @property teams the histories of teams within routes, the least recently observed first.
 */
public data class WorkEstimates(
    public val routes: PersistentMap<String, WorkHistory>,
    public val teams: PersistentMap<TeamRoute, WorkHistory>,
)

/** The state of a host that has learned nothing yet. */
public val noWorkEstimates: WorkEstimates = WorkEstimates(persistentMapOf(), persistentMapOf())
