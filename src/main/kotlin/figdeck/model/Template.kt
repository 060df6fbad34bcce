package figdeck.model

import arrow.core.Either
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

private const val MAX_RETENTION_HOURS = 24 * 365
private const val DEFAULT_RETENTION_HOURS = 72

/**
 * A set of upstreams, models, routes and teams that operators apply as a unit.
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

/** Builds a template named [name]. Returns all faults at once if it is invalid. */
public fun template(name: String, block: TemplateBuilder.() -> Unit): Either<List<Fault>, Template> =
    TemplateBuilder(name).apply(block).build()

/** Builds a [Template]. */
public class TemplateBuilder internal constructor(private val name: String) {
    private val upstreams = mutableListOf<UpstreamBuilder>()
    private val models = mutableListOf<ModelPoolBuilder>()
    private val routes = mutableListOf<RouteBuilder>()
    private val teams = mutableListOf<TeamBuilder>()

    /** How long results stay readable, in hours. */
    public var retentionHours: Int = DEFAULT_RETENTION_HOURS

    /** Adds an upstream. */
    public fun upstream(id: String, block: UpstreamBuilder.() -> Unit) {
        upstreams += UpstreamBuilder(id).apply(block)
    }

    /** Adds a model. */
    public fun model(name: String, block: ModelPoolBuilder.() -> Unit) {
        models += ModelPoolBuilder(name).apply(block)
    }

    /** Adds a route. */
    public fun route(name: String, block: RouteBuilder.() -> Unit) {
        routes += RouteBuilder(name).apply(block)
    }

    /** Adds a team. */
    public fun team(id: String, block: TeamBuilder.() -> Unit) {
        teams += TeamBuilder(id).apply(block)
    }

    /** Validates the template and returns either all faults or the template. */
    public fun build(): Either<List<Fault>, Template> {
        val faults = FaultCollector("")
        val templateName = faults.attempt("name") { TemplateName(name) }
        val retentionFits = retentionHours in 1..MAX_RETENTION_HOURS
        faults.expect(
            retentionFits,
            "retentionHours",
            "$retentionHours is out of range: use 1 to $MAX_RETENTION_HOURS",
        )
        val built = templateName?.let { assemble(it, faults) }
        built?.let { checkReferences(it, faults) }
        return faults.result { built }
    }

    private fun assemble(templateName: TemplateName, faults: FaultCollector): Template = Template(
        name = templateName,
        upstreams = upstreams.mapIndexedNotNull { i, builder -> builder.build(faults.part("upstreams[$i]")) },
        models = models.mapIndexedNotNull { i, builder -> builder.build(faults.part("models[$i]")) },
        routes = routes.mapIndexedNotNull { i, builder -> builder.build(faults.part("routes[$i]")) },
        teams = teams.mapIndexedNotNull { i, builder -> builder.build(faults.part("teams[$i]")) },
        retention = retentionHours.hours,
    )
}
