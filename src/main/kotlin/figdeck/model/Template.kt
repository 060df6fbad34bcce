package figdeck.model

import kotlin.time.Duration

/**
 * A set of parameters that operators apply as a whole: upstreams, models, routes and teams.
 *
 * @property retention how long results stay readable after they are written.
 */
public data class Template(
    public val name: TemplateName,
    public val upstreams: List<Upstream>,
    public val models: List<ModelPool>,
    public val routes: List<Route>,
    public val teams: List<Team>,
    public val retention: Duration,
)
