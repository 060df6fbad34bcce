package figdeck.bench

import figdeck.model.Lane
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.DurationUnit

private const val SIGNIFICANT_DIGITS = 3
private const val MEDIAN = 50.0
private const val P95 = 95.0

/**
 * The requests and tokens of a team.
 *
 * @property arrived the online requests that arrived early enough to time out before the trace ends.
 * @property answeredInTime those of [arrived] that completed within the online timeout.
 * @property refused those of [arrived] that were refused.
 * @property batchTokens the generated tokens of batch work.
 */
public data class TeamMeasurements(
    public val arrived: Int,
    public val answeredInTime: Int,
    public val refused: Int,
    public val batchTokens: Long,
)

/**
 * The measurements of a simulation run.
 *
 * @property firstTokenMedian the median time to first token of online requests.
 * @property firstTokenP95 the 95th percentile of the time to first token of online requests.
 * @property onlineTokens all generated tokens of online work.
 * @property goodputTokens the tokens of online answers that completed within the online timeout.
 */
public data class Measurements(
    public val firstTokenMedian: Duration,
    public val firstTokenP95: Duration,
    public val onlineTokens: Long,
    public val goodputTokens: Long,
    public val batchTokens: Long,
    public val teams: List<TeamMeasurements>,
)

/** Collects the measurements of a run. */
internal class MeasurementsBuilder(private val scenario: Scenario) {
    private val firstTokens = Histogram(SIGNIFICANT_DIGITS)
    private val teams = Array(scenario.deployment.teams) { TeamMeasurements(0, 0, 0, 0) }
    private var onlineTokens = 0L
    private var goodputTokens = 0L

    fun arrived(item: TraceItem) = updateOnline(item) { copy(arrived = arrived + 1) }

    fun refused(item: TraceItem) = updateOnline(item) { copy(refused = refused + 1) }

    fun firstToken(item: TraceItem, delay: Duration) {
        if (item.lane == Lane.ONLINE) {
            firstTokens.recordValue(delay.inWholeMicroseconds)
        }
    }

    fun generated(item: TraceItem) {
        when (item.lane) {
            Lane.ONLINE -> onlineTokens++
            Lane.BATCH -> teams[item.team] = teams[item.team].let { it.copy(batchTokens = it.batchTokens + 1) }
        }
    }

    fun finished(item: TraceItem, answeredInTime: Boolean) {
        if (item.lane == Lane.ONLINE && answeredInTime) {
            goodputTokens += item.answerTokens
            updateOnline(item) { copy(answeredInTime = this.answeredInTime + 1) }
        }
    }

    fun build(): Measurements = Measurements(
        firstTokenMedian = firstTokens.getValueAtPercentile(MEDIAN).microseconds,
        firstTokenP95 = firstTokens.getValueAtPercentile(P95).microseconds,
        onlineTokens = onlineTokens,
        goodputTokens = goodputTokens,
        batchTokens = teams.sumOf { it.batchTokens },
        teams = teams.toList(),
    )

    private fun updateOnline(item: TraceItem, change: TeamMeasurements.() -> TeamMeasurements) {
        if (item.lane == Lane.ONLINE && item.at < scenario.shape.duration - ONLINE_TIMEOUT) {
            teams[item.team] = teams[item.team].change()
        }
    }
}

/** Returns this number of tokens per second of [duration]. */
internal fun Long.perSecond(duration: Duration): Double = this / duration.toDouble(DurationUnit.SECONDS)
