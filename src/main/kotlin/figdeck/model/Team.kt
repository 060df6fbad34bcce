package figdeck.model

private const val MAX_RATE = 1_000_000.0
private const val MAX_BURST = 1_000_000
private const val MAX_WEIGHT = 1000

/**
 * A tenant with its keys, its rate limit and the models and routes granted by its template.
 *
 * @property weight its relative share of contended capacity.
 * @property models the models that the team may use.
 * @property routes the routes that the team may call in addition to the open ones.
 */
public data class Team(
    public val id: TeamId,
    public val keys: List<TeamKey>,
    public val limit: Limit,
    public val weight: Int,
    public val models: Set<ModelName>,
    public val routes: Set<RouteName>,
)

/** Builds a [Team]. */
public class TeamBuilder internal constructor(private val id: String) {
    private val keys = mutableListOf<Pair<String, String>>()

    /** The rate limit in requests a second across all hosts. */
    public var ratePerSecond: Double = 1.0

    /** The burst limit in requests across all hosts. */
    public var burst: Int = 1

    /** The share of contended capacity relative to other teams. */
    public var weight: Int = 1

    /** The models that the team may use. */
    public var models: List<String> = emptyList()

    /** The routes that the team may call in addition to the open ones. */
    public var routes: List<String> = emptyList()

    /** Adds a key by its [id] and the hexadecimal SHA-256 digest of the key. */
    public fun key(id: String, sha256: String) {
        keys += id to sha256
    }

    internal fun build(faults: FaultCollector): Team? {
        val teamId = faults.attempt("team") { TeamId(id) }
        val teamKeys = buildKeys(faults)
        val rateFits = ratePerSecond > 0 && ratePerSecond <= MAX_RATE
        faults.expect(rateFits, "ratePerSecond", "$ratePerSecond is out of range: use more than 0, up to $MAX_RATE")
        faults.expect(burst in 1..MAX_BURST, "burst", "$burst is out of range: use 1 to $MAX_BURST")
        faults.expect(weight in 1..MAX_WEIGHT, "weight", "$weight is out of range: use 1 to $MAX_WEIGHT")
        val modelNames = models.mapIndexedNotNull { i, model -> faults.attempt("models[$i]") { ModelName(model) } }
        val routeNames = routes.mapIndexedNotNull { i, route -> faults.attempt("routes[$i]") { RouteName(route) } }
        return Team(
            id = teamId ?: return null,
            keys = teamKeys,
            limit = Limit(ratePerSecond, burst),
            weight = weight,
            models = modelNames.toSet(),
            routes = routeNames.toSet(),
        )
    }

    private fun buildKeys(faults: FaultCollector): List<TeamKey> = keys.mapIndexedNotNull { i, (id, sha256) ->
        val keyId = faults.attempt("keys[$i].id") { KeyId(id) }
        val hash = faults.attempt("keys[$i].sha256") { KeyHash(sha256) }
        if (keyId == null || hash == null) null else TeamKey(keyId, hash)
    }
}
