package figdeck.bench

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val RATE_AT_HALF = 14.0
private const val RATE_AT_CAPACITY = 27.0
private const val OVERLOAD = 3.0
private const val PERCENT = 100.0
private const val LITTLE = 0.1
private val LENGTH = 60.seconds

/**
 * One line of the table.
 *
 * @property batchPart the tokens that batch work got of the capacity that online work left, in percent; null when that
 * is next to nothing.
 * @property harm the tail of the time to the first token with batch work, over that without.
 * @property worstTeam the least part of its requests that a team inside its share had answered in time, in percent.
 * @property worstBatch the least batch throughput of a team inside its share without online work, over an equal share,
 * in percent.
 * @property wrongful the requests refused although their team was inside its share.
 */
public data class Line(
    public val deployment: String,
    public val load: Load,
    public val scheduling: String,
    public val batchPart: Double?,
    public val tail: Duration,
    public val harm: Double,
    public val worstTeam: Double,
    public val worstBatch: Double,
    public val wrongful: Int,
)

/** Goodput when demand is three times the capacity, as a part of that when it just meets it. */
public data class OverloadLine(
    public val deployment: String,
    public val scheduling: String,
    public val goodputPart: Double,
)

/** Measures [scheduling] under [load]. */
public fun measure(deployment: Deployment, scheduling: Scheduling, load: Load, seed: Long): Line {
    val shape = TraceShape(load, RATE_AT_HALF, deployment.teams, LENGTH)
    val scenario = Scenario(deployment, scheduling, shape, batch = true, seed = seed)
    val both = Simulation(scenario).run()
    val onlineAlone = Simulation(scenario.copy(batch = false)).run()
    val batchAlone = Simulation(scenario.copy(online = false)).run()
    val inside = both.teams.filterIndexed { team, _ -> !isHot(load, team) }
    return Line(
        deployment = deployment.name,
        load = load,
        scheduling = scheduling.name,
        batchPart = part(both.batchTokens, batchAlone.batchTokens - both.onlineTokens, batchAlone.batchTokens),
        tail = both.firstTokenTail,
        harm = both.firstTokenTail / onlineAlone.firstTokenTail,
        worstTeam = PERCENT * inside.minOf { it.inTime.toDouble() / it.asked.coerceAtLeast(1) },
        worstBatch = PERCENT * worstBatchShare(batchAlone, load),
        wrongful = inside.sumOf { it.refused },
    )
}

private fun part(got: Long, left: Long, capacity: Long): Double? =
    if (left > capacity * LITTLE) PERCENT * got / left else null

private fun worstBatchShare(batch: Measures, load: Load): Double {
    val inside = batch.teams.filterIndexed { team, _ -> !isHot(load, team) }
    return inside.minOf { it.batchTokens }.toDouble() * batch.teams.size / batch.batchTokens
}

/** Measures the goodput of [scheduling] under overload. */
public fun measureOverload(deployment: Deployment, scheduling: Scheduling, seed: Long): OverloadLine {
    val shape = TraceShape(Load.STEADY, RATE_AT_CAPACITY, deployment.teams, LENGTH)
    val scenario = Scenario(deployment, scheduling, shape, batch = false, seed = seed)
    val full = Simulation(scenario).run()
    val over = Simulation(scenario.copy(shape = shape.copy(ratePerSecond = OVERLOAD * RATE_AT_CAPACITY))).run()
    return OverloadLine(deployment.name, scheduling.name, PERCENT * over.goodTokens / full.goodTokens)
}

/** The heading of the lines that [row] writes. */
public const val HEADING: String =
    "| deployment | load | scheduling | batch of what online leaves | online p95 to first token " +
        "| with / without batch | worst team, in time | worst team, batch share | wrongful refusals |" +
        "\n|---|---|---|--:|--:|--:|--:|--:|--:|"

/** The heading of the lines about overload. */
public const val OVERLOAD_HEADING: String =
    "| deployment | scheduling | goodput at 3 x capacity over that at 1 x |\n|---|---|--:|"

/** This line as a row of a table. */
public fun Line.row(): String {
    val millis = tail.toDouble(DurationUnit.MILLISECONDS)
    val batch = batchPart?.let { "%.1f %%".format(it) } ?: "-"
    val name = load.name.lowercase().replace('_', ' ')
    val figures = "%.0f ms | %.3f | %.1f %% | %.1f %% | %d".format(millis, harm, worstTeam, worstBatch, wrongful)
    return "| $deployment | $name | $scheduling | $batch | $figures |"
}

/** This line as a row of a table. */
public fun OverloadLine.row(): String = "| $deployment | $scheduling | %.1f %% |".format(goodputPart)
