package figdeck.telemetry

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.function.Supplier
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** The most teams that get a label of their own; the rest share [OTHER_TEAMS], so that series stay bounded. */
internal const val MAX_TEAM_LABELS = 200
internal const val OTHER_TEAMS = "other"
private const val MEDIAN = 0.5
private const val P95 = 0.95
private const val P99 = 0.99

private data class TimerKey(
    val name: String,
    val tags: List<String>,
)

/** What a daemon counts and times. */
internal class Meters {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val timers = ConcurrentHashMap<TimerKey, Timer>()
    private val teams = ConcurrentHashMap.newKeySet<String>()

    /** Everything in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Counts a refusal of [type] for [team]. */
    fun countRefusal(type: String, team: String?) {
        registry.counter("figdeck.refusals", "type", type, "team", teamLabel(team)).increment()
    }

    /** Notes how long something named [name] took; [tags] are alternating names and values of small sets. */
    fun recordTime(name: String, duration: Duration, tags: List<String> = emptyList()) {
        val timer = timers.computeIfAbsent(TimerKey(name, tags)) { register(it) }
        timer.record(duration.toJavaDuration())
    }

    /** Shows a value that is read when the metrics are scraped. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, Supplier { value() }).register(registry)
    }

    private fun register(key: TimerKey): Timer {
        val labels = key.tags.chunked(2) { (label, value) -> Tag.of(label, value) }
        return Timer.builder(key.name).tags(labels).publishPercentiles(MEDIAN, P95, P99).register(registry)
    }

    private fun teamLabel(team: String?): String = when {
        team == null -> "none"
        team in teams -> team
        teams.size < MAX_TEAM_LABELS -> team.also { teams += it }
        else -> OTHER_TEAMS
    }
}
