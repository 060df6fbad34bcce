package figdeck.standin

import figdeck.command.Step
import figdeck.model.Moment
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val CACHED_PREFIXES = 16
private val REPORT_LAG = 1.seconds

/**
 * What an engine's stand-in does wrong at present.
 *
 * @property silent it accepts requests and never answers.
 * @property slowMillis how much longer the first token takes.
 * @property resetAfter it breaks each answer off after so many tokens; null for not at all.
 */
internal data class EngineFaults(
    val silent: Boolean = false,
    val slowMillis: Long = 0,
    val resetAfter: Int? = null,
)

/** What an engine's stand-in has done so far. */
internal data class EngineCounts(
    val running: Int = 0,
    val started: Int = 0,
    val cancelled: Int = 0,
    val prefixHits: Int = 0,
)

/**
 * The state of an engine's stand-in.
 *
 * @property reported the counts that a load report shows, and when they were true.
 * @property prefixes hashes of cached prompt prefixes, the latest used last.
 * @property newestOrder the highest fencing number of an order.
 */
internal data class EngineState(
    val counts: EngineCounts,
    val reported: EngineCounts,
    val reportedAt: Moment?,
    val prefixes: PersistentList<Int>,
    val faults: EngineFaults,
    val newestOrder: Long,
)

internal val idleEngine = EngineState(
    counts = EngineCounts(),
    reported = EngineCounts(),
    reportedAt = null,
    prefixes = persistentListOf(),
    faults = EngineFaults(),
    newestOrder = 0,
)

/** Counts a generation that starts with [prefix]; the result says whether the prefix was cached. */
internal fun startGeneration(state: EngineState, prefix: Int): Step<EngineState, Boolean> {
    val hit = prefix in state.prefixes
    val kept = state.prefixes.remove(prefix).add(prefix)
    val counts = state.counts.copy(
        running = state.counts.running + 1,
        started = state.counts.started + 1,
        prefixHits = state.counts.prefixHits + if (hit) 1 else 0,
    )
    val bounded = if (kept.size > CACHED_PREFIXES) kept.removeAt(0) else kept
    return Step(state.copy(counts = counts, prefixes = bounded), hit)
}

/** Counts the end of a generation. */
internal fun endGeneration(state: EngineState, cancelled: Boolean): Step<EngineState, Unit> {
    val counts = state.counts.copy(
        running = state.counts.running - 1,
        cancelled = state.counts.cancelled + if (cancelled) 1 else 0,
    )
    return Step(state.copy(counts = counts), Unit)
}

/** The load as the engine reports it, which lags. */
internal fun reportLoad(
    state: EngineState,
    now: Moment,
    lag: Duration = REPORT_LAG,
): Step<EngineState, EngineCounts> {
    val fresh = state.reportedAt?.let { now - it < lag } ?: false
    val next = if (fresh) state else state.copy(reported = state.counts, reportedAt = now)
    return Step(next, next.reported)
}

/** Takes an order with a fencing [number]; an engine that [honours] fencing refuses an older number. */
internal fun takeOrder(state: EngineState, number: Long, honours: Boolean): Step<EngineState, Boolean> {
    val taken = !honours || number >= state.newestOrder
    return Step(if (taken) state.copy(newestOrder = maxOf(number, state.newestOrder)) else state, taken)
}
