package figdeck.telemetry

import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.function.Supplier
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** The maximum number of teams with a label of their own. Others share [OTHER_TEAMS], which bounds the time series. */
internal const val MAX_TEAM_LABELS = 200
internal const val OTHER_TEAMS = "other"

/** The maximum number of routes with a label of their own. Others share [OTHER_ROUTES]. */
internal const val MAX_ROUTE_LABELS = 64
internal const val OTHER_ROUTES = "other"
private const val P10 = 0.1
private const val P90 = 0.9
private const val MEDIAN = 0.5
private const val P95 = 0.95
private const val P99 = 0.99

private data class TimerKey(
    val name: String,
    val tags: List<String>,
)

/** The metrics of a daemon. */
internal class Meters {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val timers = ConcurrentHashMap<TimerKey, Timer>()
    private val estimateErrors = ConcurrentHashMap<String, DistributionSummary>()
    private val routes = ConcurrentHashMap.newKeySet<String>()
    private val multiGauges = ConcurrentHashMap<String, MultiGauge>()
    private val teams = ConcurrentHashMap.newKeySet<String>()

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Counts a refusal of [type] for [team]. */
    fun countRefusal(type: String, team: String?) {
        registry.counter("figdeck.refusals", "type", type, "team", teamLabel(team)).increment()
    }

    /** Counts a send to an upstream without a complete answer. The [ending] is from a small set. */
    fun countFailedSend(ending: String) {
        registry.counter("figdeck.failed.sends", "ending", ending).increment()
    }

    /** Adds one to the counter [name] with [labels], whose values are from small sets. */
    fun count(name: String, labels: Tags = Tags.empty()) {
        registry.counter(name, labels).increment()
    }

    /** Replaces the gauges [name], of which there is one for each value of the label [label]. */
    fun replaceGauges(name: String, label: String, values: Map<String, Int>) {
        val rows = values.map { (value, number) -> MultiGauge.Row.of(Tags.of(label, value), number) }
        multiGauges.computeIfAbsent(name) { MultiGauge.builder(it).register(registry) }.register(rows, true)
    }

    /** Records [duration] in the timer [name]. [tags] alternates label names and values, both from small sets. */
    fun recordTime(name: String, duration: Duration, tags: List<String> = emptyList()) {
        val timer = timers.computeIfAbsent(TimerKey(name, tags)) { registry.timer(it) }
        timer.record(duration.toJavaDuration())
    }

    /** Records the tokens of an output on [route] divided by the expected ones. */
    fun recordEstimateError(route: String, ratio: Double) {
        val label = if (route in routes || routes.size < MAX_ROUTE_LABELS) route.also { routes += it } else OTHER_ROUTES
        estimateErrors.computeIfAbsent(label) {
            DistributionSummary.builder("figdeck.work.estimate.error").tags("route", it)
                .publishPercentiles(P10, MEDIAN, P90, P99).register(registry)
        }.record(ratio)
    }

    /** Registers a gauge whose [value] is read on each scrape. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, Supplier { value() }).register(registry)
    }

    /** Registers a counter whose [value] is read on each scrape and never decreases. */
    fun counter(name: String, value: () -> Number) {
        // The registry keeps only a weak reference to the object; this one lives as long as the registry.
        FunctionCounter.builder(name, this) { value().toDouble() }.register(registry)
    }

    private fun teamLabel(team: String?): String = when {
        team == null -> "none"
        team in teams -> team
        teams.size < MAX_TEAM_LABELS -> team.also { teams += it }
        else -> OTHER_TEAMS
    }
}

private fun PrometheusMeterRegistry.timer(key: TimerKey): Timer {
    val labels = key.tags.chunked(2) { (label, value) -> Tag.of(label, value) }
    return Timer.builder(key.name).tags(labels).publishPercentiles(MEDIAN, P95, P99).register(this)
}
