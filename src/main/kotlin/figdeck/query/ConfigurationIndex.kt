package figdeck.query

import figdeck.model.Configuration
import figdeck.model.KeyHash
import figdeck.model.ModelName
import figdeck.model.ModelPool
import figdeck.model.Revision
import figdeck.model.Route
import figdeck.model.RouteName
import figdeck.model.Team
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId

/** A [Configuration] indexed for look-up by name, id and key. */
public data class ConfigurationIndex(
    public val revision: Revision,
    public val teams: Map<TeamId, Team>,
    public val teamsByKey: Map<KeyHash, TeamId>,
    public val models: Map<ModelName, ModelPool>,
    public val routes: Map<RouteName, Route>,
    public val upstreams: Map<UpstreamId, Upstream>,
)

/** Indexes [configuration]. */
public fun indexOf(configuration: Configuration): ConfigurationIndex {
    val templates = configuration.templates.values
    val teams = templates.flatMap { it.teams }
    return ConfigurationIndex(
        revision = configuration.revision,
        teams = teams.associateBy { it.id },
        teamsByKey = teams.flatMap { team -> team.keys.map { it.hash to team.id } }.toMap(),
        models = templates.flatMap { it.models }.associateBy { it.name },
        routes = templates.flatMap { it.routes }.associateBy { it.name },
        upstreams = templates.flatMap { it.upstreams }.associateBy { it.id },
    )
}
