package figdeck.bench

import figdeck.model.Lane
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.DurationUnit

private const val SIGNIFICANT_DIGITS = 3
private const val MEDIAN = 50.0
private const val P95 = 95.0

/** What one team asked for and got. */
public data class TeamMeasurements(
    public val arrived: Int,
    public val answeredInTime: Int,
    public val refused: Int,
    public val batchTokens: Long,
)

/**
 * What one run measured.
 *
 * @property goodputTokens online tokens of answers that were whole in time.
 */
public data class Measurements(
    public val firstTokenMedian: Duration,
    public val firstTokenP95: Duration,
    public val onlineTokens: Long,
    public val goodputTokens: Long,
    public val batchTokens: Long,
    public val teams: List<TeamMeasurements>,
)

/** Collects the measures of a run. */
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

/** The tokens generated in each second of [duration]. */
internal fun Long.perSecond(duration: Duration): Double = this / duration.toDouble(DurationUnit.SECONDS)
