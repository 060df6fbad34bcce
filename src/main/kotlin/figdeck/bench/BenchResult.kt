package figdeck.bench

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val RATE_AT_HALF_CAPACITY = 14.0
private const val RATE_AT_CAPACITY = 27.0
private const val OVERLOAD_FACTOR = 3.0
private const val PERCENT = 100.0
private const val MIN_LEFT_FRACTION = 0.1
private val RUN_DURATION = 60.seconds

/**
 * The results of a scheduling in a deployment under one kind of trace: a row of the results table.
 *
 * @property batchSharePercent the percentage of the capacity left by online work that batch work used; null if online
 * work left at most a tenth of the capacity.
 * @property tail the 95th percentile of the time to first token of online requests, with batch work.
 * @property tailRatio the ratio of [tail] to the same percentile without batch work.
 * @property worstTeamInTimePercent the lowest percentage of a team's requests that were answered in time, among the
 * teams within their share.
 * @property worstTeamBatchPercent the lowest batch throughput among the teams within their share, without online work,
 * as a percentage of an equal share.
 * @property wrongfulRefusals the number of refused requests of teams within their share.
 */
public data class BenchResult(
    public val deployment: String,
    public val traceKind: TraceKind,
    public val scheduling: String,
    public val batchSharePercent: Double?,
    public val tail: Duration,
    public val tailRatio: Double,
    public val worstTeamInTimePercent: Double,
    public val worstTeamBatchPercent: Double,
    public val wrongfulRefusals: Int,
)

/** The goodput at a demand of three times the capacity, as a percentage of that at a demand equal to the capacity. */
public data class OverloadResult(
    public val deployment: String,
    public val scheduling: String,
    public val goodputPercent: Double,
)

/** Measures [scheduling] in [deployment] under a trace of [traceKind]. */
public fun measure(deployment: Deployment, scheduling: Scheduling, traceKind: TraceKind, seed: Long): BenchResult {
    val shape = TraceShape(traceKind, RATE_AT_HALF_CAPACITY, deployment.teams, RUN_DURATION)
    val scenario = Scenario(deployment, scheduling, shape, batch = true, seed = seed)
    val combined = Simulation(scenario).run()
    val onlineAlone = Simulation(scenario.copy(batch = false)).run()
    val batchAlone = Simulation(scenario.copy(online = false)).run()
    val teamsWithinShare = combined.teams.filterIndexed { team, _ -> !isHot(traceKind, team) }
    return BenchResult(
        deployment = deployment.name,
        traceKind = traceKind,
        scheduling = scheduling.name,
        batchSharePercent = batchSharePercentOf(
            combined.batchTokens,
            batchAlone.batchTokens - combined.onlineTokens,
            batchAlone.batchTokens
        ),
        tail = combined.firstTokenP95,
        tailRatio = combined.firstTokenP95 / onlineAlone.firstTokenP95,
        worstTeamInTimePercent = PERCENT * teamsWithinShare.minOf {
            it.answeredInTime.toDouble() / it.arrived.coerceAtLeast(1)
        },
        worstTeamBatchPercent = PERCENT * worstBatchShare(batchAlone, traceKind),
        wrongfulRefusals = teamsWithinShare.sumOf { it.refused },
    )
}

private fun batchSharePercentOf(usedTokens: Long, leftTokens: Long, capacityTokens: Long): Double? =
    if (leftTokens > capacityTokens * MIN_LEFT_FRACTION) PERCENT * usedTokens / leftTokens else null

private fun worstBatchShare(batch: Measurements, traceKind: TraceKind): Double {
    val teamsWithinShare = batch.teams.filterIndexed { team, _ -> !isHot(traceKind, team) }
    return teamsWithinShare.minOf { it.batchTokens }.toDouble() * batch.teams.size / batch.batchTokens
}

/** Measures the goodput of [scheduling] in [deployment] under overload. */
public fun measureOverload(deployment: Deployment, scheduling: Scheduling, seed: Long): OverloadResult {
    val shape = TraceShape(TraceKind.STEADY, RATE_AT_CAPACITY, deployment.teams, RUN_DURATION)
    val scenario = Scenario(deployment, scheduling, shape, batch = false, seed = seed)
    val atCapacity = Simulation(scenario).run()
    val overloaded = Simulation(
        scenario.copy(shape = shape.copy(ratePerSecond = OVERLOAD_FACTOR * RATE_AT_CAPACITY))
    ).run()
    return OverloadResult(
        deployment.name,
        scheduling.name,
        PERCENT * overloaded.goodputTokens / atCapacity.goodputTokens
    )
}

/** The header of the Markdown table of [BenchResult] rows. */
public const val TABLE_HEADING: String =
    "| deployment | load | scheduling | batch of what online leaves | online p95 to first token " +
        "| with / without batch | worst team, in time | worst team, batch share | wrongful refusals |" +
        "\n|---|---|---|--:|--:|--:|--:|--:|--:|"

/** The header of the Markdown table of [OverloadResult] rows. */
public const val OVERLOAD_TABLE_HEADING: String =
    "| deployment | scheduling | goodput at 3 x capacity over that at 1 x |\n|---|---|--:|"

/** Formats this result as a row of a Markdown table. */
public fun BenchResult.toTableRow(): String {
    val millis = tail.toDouble(DurationUnit.MILLISECONDS)
    val batch = batchSharePercent?.let { "%.1f %%".format(it) } ?: "-"
    val name = traceKind.name.lowercase().replace('_', ' ')
    val figures = "%.0f ms | %.3f | %.1f %% | %.1f %% | %d".format(
        millis,
        tailRatio,
        worstTeamInTimePercent,
        worstTeamBatchPercent,
        wrongfulRefusals
    )
    return "| $deployment | $name | $scheduling | $batch | $figures |"
}

/** Formats this result as a row of a Markdown table. */
public fun OverloadResult.toTableRow(): String = "| $deployment | $scheduling | %.1f %% |".format(goodputPercent)
