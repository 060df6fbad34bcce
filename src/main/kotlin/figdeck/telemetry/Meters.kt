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

/** The maximum number of teams with a label of their own. Others share [OTHER_TEAMS], which bounds the time series. */
internal const val MAX_TEAM_LABELS = 200
internal const val OTHER_TEAMS = "other"
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

    /** Counts a response that was ended because its caller read too little of it. */
    fun countSlowReader() {
        registry.counter("figdeck.slow.readers").increment()
    }

    /** Records [duration] in the timer [name]. [tags] alternates label names and values, both from small sets. */
    fun recordTime(name: String, duration: Duration, tags: List<String> = emptyList()) {
        val timer = timers.computeIfAbsent(TimerKey(name, tags)) { register(it) }
        timer.record(duration.toJavaDuration())
    }

    /** Registers a gauge whose [value] is read on each scrape. */
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
