package figdeck.standin

import figdeck.command.Step
import figdeck.model.Moment
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAX_CACHED_PREFIXES = 16
private val LOAD_REPORT_LAG = 1.seconds

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
 * @property highestFencingNumber the highest fencing number of an order.
 */
internal data class EngineState(
    val counts: EngineCounts,
    val reported: EngineCounts,
    val reportedAt: Moment?,
    val prefixes: PersistentList<Int>,
    val faults: EngineFaults,
    val highestFencingNumber: Long,
)

internal val initialEngineState = EngineState(
    counts = EngineCounts(),
    reported = EngineCounts(),
    reportedAt = null,
    prefixes = persistentListOf(),
    faults = EngineFaults(),
    highestFencingNumber = 0,
)

/** Counts a generation that starts with [prefix]; the result says whether the prefix was cached. */
internal fun startGeneration(state: EngineState, prefix: Int): Step<EngineState, Boolean> {
    val isCached = prefix in state.prefixes
    val leastRecentFirst = state.prefixes.remove(prefix).add(prefix)
    val counts = state.counts.copy(
        running = state.counts.running + 1,
        started = state.counts.started + 1,
        prefixHits = state.counts.prefixHits + if (isCached) 1 else 0,
    )
    val bounded = if (leastRecentFirst.size > MAX_CACHED_PREFIXES) leastRecentFirst.removeAt(0) else leastRecentFirst
    return Step(state.copy(counts = counts, prefixes = bounded), isCached)
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
    lag: Duration = LOAD_REPORT_LAG,
): Step<EngineState, EngineCounts> {
    val isCurrent = state.reportedAt?.let { now - it < lag } ?: false
    val next = if (isCurrent) state else state.copy(reported = state.counts, reportedAt = now)
    return Step(next, next.reported)
}

/** Takes an order with a fencing [fencingNumber]; an engine that [honoursFencing] fencing refuses an older number. */
internal fun acceptOrder(state: EngineState, fencingNumber: Long, honoursFencing: Boolean): Step<EngineState, Boolean> {
    val accepted = !honoursFencing || fencingNumber >= state.highestFencingNumber
    return Step(
        if (accepted) state.copy(highestFencingNumber = maxOf(fencingNumber, state.highestFencingNumber)) else state,
        accepted
    )
}
