package figdeck.bench

import figdeck.model.Lane
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.DurationUnit

private const val DIGITS = 3
private const val MEDIAN = 50.0
private const val TAIL = 95.0

/** What one team asked for and got. */
public data class TeamMeasures(
    public val asked: Int,
    public val inTime: Int,
    public val refused: Int,
    public val batchTokens: Long,
)

/**
 * What one run measured.
 *
 * @property goodTokens online tokens of answers that were whole in time.
 */
public data class Measures(
    public val firstTokenMedian: Duration,
    public val firstTokenTail: Duration,
    public val onlineTokens: Long,
    public val goodTokens: Long,
    public val batchTokens: Long,
    public val teams: List<TeamMeasures>,
)

/** Collects the measures of a run. */
internal class MeasuresBuilder(private val scenario: Scenario) {
    private val firstTokens = Histogram(DIGITS)
    private val teams = Array(scenario.deployment.teams) { TeamMeasures(0, 0, 0, 0) }
    private var onlineTokens = 0L
    private var goodTokens = 0L

    fun arrived(item: TraceItem) = online(item) { copy(asked = asked + 1) }

    fun refused(item: TraceItem) = online(item) { copy(refused = refused + 1) }

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

    fun finished(item: TraceItem, inTime: Boolean) {
        if (item.lane == Lane.ONLINE && inTime) {
            goodTokens += item.answerTokens
            online(item) { copy(inTime = this.inTime + 1) }
        }
    }

    fun build(): Measures = Measures(
        firstTokenMedian = firstTokens.getValueAtPercentile(MEDIAN).microseconds,
        firstTokenTail = firstTokens.getValueAtPercentile(TAIL).microseconds,
        onlineTokens = onlineTokens,
        goodTokens = goodTokens,
        batchTokens = teams.sumOf { it.batchTokens },
        teams = teams.toList(),
    )

    private fun online(item: TraceItem, change: TeamMeasures.() -> TeamMeasures) {
        if (item.lane == Lane.ONLINE && item.at < scenario.shape.length - PATIENCE) {
            teams[item.team] = teams[item.team].change()
        }
    }
}

/** The tokens generated in each second of [length]. */
internal fun Long.perSecond(length: Duration): Double = this / length.toDouble(DurationUnit.SECONDS)
