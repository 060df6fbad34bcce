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
 * The faults that an engine stand-in injects.
 *
 * @property silent whether it accepts requests and never answers.
 * @property slowMillis the delay added to the first token.
 * @property resetAfter the number of tokens after which it aborts each answer; null if it does not.
 */
internal data class EngineFaults(
    val silent: Boolean = false,
    val slowMillis: Long = 0,
    val resetAfter: Int? = null,
)

/** The running generations of an engine stand-in and its totals since it started. */
internal data class EngineCounts(
    val running: Int = 0,
    val started: Int = 0,
    val cancelled: Int = 0,
    val prefixHits: Int = 0,
)

/**
 * The state of an engine stand-in.
 *
 * @property reported the counts as of [reportedAt], which load reports show.
 * @property prefixes hashes of the cached prompt prefixes, least recently used first.
 * @property highestFencingNumber the highest fencing number of the accepted orders.
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

/** Counts the start of a generation with [prefix] and returns whether the prefix was cached. */
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

/** Counts the end of a generation, which was [cancelled] if its answer is incomplete. */
internal fun endGeneration(state: EngineState, cancelled: Boolean): Step<EngineState, Unit> {
    val counts = state.counts.copy(
        running = state.counts.running - 1,
        cancelled = state.counts.cancelled + if (cancelled) 1 else 0,
    )
    return Step(state.copy(counts = counts), Unit)
}

/** Returns the counts for a load report, which may be up to [lag] old. */
internal fun reportLoad(
    state: EngineState,
    now: Moment,
    lag: Duration = LOAD_REPORT_LAG,
): Step<EngineState, EngineCounts> {
    val isCurrent = state.reportedAt?.let { now - it < lag } ?: false
    val next = if (isCurrent) state else state.copy(reported = state.counts, reportedAt = now)
    return Step(next, next.reported)
}

/**
 * Records an order with [fencingNumber] and returns whether it is accepted. With [honoursFencing], a number lower than
 * the highest accepted one is rejected.
 */
internal fun acceptOrder(state: EngineState, fencingNumber: Long, honoursFencing: Boolean): Step<EngineState, Boolean> {
    val accepted = !honoursFencing || fencingNumber >= state.highestFencingNumber
    return Step(
        if (accepted) state.copy(highestFencingNumber = maxOf(fencingNumber, state.highestFencingNumber)) else state,
        accepted
    )
}
