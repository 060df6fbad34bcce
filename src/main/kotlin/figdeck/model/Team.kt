package figdeck.model

/**
 * A tenant and what its template grants it.
 *
 * @property weight its share of contended capacity relative to other teams.
 * @property models the models it may ask for.
 * @property routes the routes it may call, besides those open to all.
 */
public data class Team(
    public val id: TeamId,
    public val keys: List<TeamKey>,
    public val limit: Limit,
    public val weight: Int,
    public val models: Set<ModelName>,
    public val routes: Set<RouteName>,
)
