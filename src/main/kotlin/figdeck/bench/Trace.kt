package figdeck.bench

import figdeck.model.Lane
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val SHORTEST_ANSWER = 20
private const val LONGEST_ANSWER = 180
private const val PREFIX_TOKENS = 400
private const val OWN_TOKENS = 200
private const val BURST_FACTOR = 4.0
private const val HOT_FACTOR = 10.0
private const val HOT_TEAMS = 2
private const val HOT_PREFIX_FRACTION = 0.6
private const val PREFIXES_PER_TEAM = 12
private val BURST_PERIOD = 20.seconds
private val BURST_LENGTH = 3.seconds

/**
 * A request of a trace.
 *
 * @property at the arrival time, from the start of the trace.
 * @property prefix the id of the prompt prefix, which engines can cache.
 * @property ownTokens the prompt tokens after the prefix.
 */
public data class TraceItem(
    public val at: Duration,
    public val team: Int,
    public val lane: Lane,
    public val prefix: Int,
    public val prefixTokens: Int,
    public val ownTokens: Int,
    public val answerTokens: Int,
)

/** The arrival pattern of a trace. */
public enum class TraceKind {
    /** Arrivals at a constant rate. */
    STEADY,

    /** A constant rate with periodic short bursts at four times the rate. */
    BURST,

    /** Two teams send ten times their share. */
    HOT_TEAM,

    /** Most requests share one prompt prefix. */
    HOT_PREFIX,

    /** Arrivals at a constant rate; a runner is lost and later restored. */
    RUNNER_LOSS,
}

/**
 * The parameters of a trace.
 *
 * @property ratePerSecond the online arrivals of all teams together, without the additional arrivals of hot teams.
 */
public data class TraceShape(
    public val traceKind: TraceKind,
    public val ratePerSecond: Double,
    public val teams: Int,
    public val duration: Duration,
)

/** Returns the online arrivals of [shape], with Poisson arrivals at its rate. Equal seeds give equal traces. */
public fun onlineTrace(shape: TraceShape, seed: Long): List<TraceItem> {
    val random = Random(seed)
    val items = mutableListOf<TraceItem>()
    var at = Duration.ZERO
    while (at < shape.duration) {
        val rate = shape.rateAt(at)
        at += (-ln(1 - random.nextDouble()) / rate).seconds
        items += item(at, shape.team(random), Lane.ONLINE, shape.traceKind, random)
    }
    return items
}

/** Returns an item of an endless batch of [team]. */
public fun batchItem(at: Duration, team: Int, random: Random): TraceItem =
    item(at, team, Lane.BATCH, TraceKind.STEADY, random)

/** Returns whether [team] sends more than its share. */
public fun isHot(traceKind: TraceKind, team: Int): Boolean = traceKind == TraceKind.HOT_TEAM && team < HOT_TEAMS

private fun TraceShape.rateAt(at: Duration): Double {
    val intoPeriod = at.toDouble(DurationUnit.SECONDS) % BURST_PERIOD.toDouble(DurationUnit.SECONDS)
    val bursts = traceKind == TraceKind.BURST && intoPeriod < BURST_LENGTH.toDouble(DurationUnit.SECONDS)
    val hotTeamFactor = if (traceKind == TraceKind.HOT_TEAM) 1 + HOT_TEAMS * (HOT_FACTOR - 1) / teams else 1.0
    return ratePerSecond * hotTeamFactor * if (bursts) BURST_FACTOR else 1.0
}

private fun TraceShape.team(random: Random): Int {
    val shares = List(teams) { if (isHot(traceKind, it)) HOT_FACTOR else 1.0 }
    var left = random.nextDouble() * shares.sum()
    return shares.indexOfFirst { share ->
        left -= share
        left < 0
    }.coerceAtLeast(0)
}

private fun item(at: Duration, team: Int, lane: Lane, traceKind: TraceKind, random: Random): TraceItem {
    val shared = traceKind == TraceKind.HOT_PREFIX && random.nextDouble() < HOT_PREFIX_FRACTION
    val ownPrefix = 1 + team * PREFIXES_PER_TEAM + random.nextInt(PREFIXES_PER_TEAM)
    return TraceItem(
        at = at,
        team = team,
        lane = lane,
        prefix = if (shared) 0 else ownPrefix,
        prefixTokens = PREFIX_TOKENS,
        ownTokens = OWN_TOKENS,
        answerTokens = random.nextInt(SHORTEST_ANSWER, LONGEST_ANSWER),
    )
}
