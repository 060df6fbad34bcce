package figdeck.command.batch

import figdeck.command.Step
import figdeck.model.BatchId
import figdeck.model.Moment
import figdeck.model.SegmentId
import figdeck.model.SegmentPointer
import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration.Companion.seconds

/** The maximum number of segments that one host runs at once. */
public const val MAX_RUNNING_SEGMENTS: Int = 8

/** How long after the last confirmation an item may still start; bounds the work started after a cancellation. */
private val CONFIRMATION_VALIDITY = 2.seconds

/** The longest gap between confirmations over which the notices of cancelled jobs are known to be complete. */
private val MAX_CONFIRMATION_GAP = 10.seconds

/**
 * The segments that this host runs.
 *
 * @property confirmedAt when this host sent the latest successful query for cancelled jobs.
 */
public data class RunningSegments(
    public val running: PersistentMap<SegmentId, TeamId>,
    public val confirmedAt: Moment?,
)

/** The state of a host that runs nothing. */
public val noSegments: RunningSegments = RunningSegments(persistentMapOf(), null)

/**
 * Fills the free places from [waiting], each with a segment of the team that has the fewest running segments relative
 * to its weight. The job rows are read after [now], so [now] counts as the confirmation for a host that ran nothing.
 */
public fun chooseSegments(
    state: RunningSegments,
    waiting: List<SegmentPointer>,
    weights: Map<TeamId, Int>,
    now: Moment,
): Step<RunningSegments, List<SegmentPointer>> {
    val remaining = waiting.filterNot { it.id in state.running }.groupByTo(LinkedHashMap()) { it.team }
        .mapValues { ArrayDeque(it.value) }
    val load = state.running.values.groupingBy { it }.eachCount().toMutableMap()
    val chosen = mutableListOf<SegmentPointer>()
    while (state.running.size + chosen.size < MAX_RUNNING_SEGMENTS) {
        val team = remaining.filterValues { it.isNotEmpty() }.keys
            .minByOrNull { ((load[it] ?: 0) + 1.0) / (weights[it] ?: 1) } ?: break
        chosen += remaining.getValue(team).removeFirst()
        load.merge(team, 1, Int::plus)
    }
    val running = state.running.mutate { map -> chosen.forEach { map[it.id] = it.team } }
    val confirmedAt = if (state.running.isEmpty()) now else state.confirmedAt
    return Step(RunningSegments(running, confirmedAt), chosen)
}

/** Frees the place of the segment [id]. */
public fun endSegment(state: RunningSegments, id: SegmentId): RunningSegments =
    state.copy(running = state.running.remove(id))

/**
 * Drops the segments of [cancelled] jobs. After too long a gap since the last confirmation it drops all segments, so
 * that the row of each job is read again.
 */
public fun confirmJobs(state: RunningSegments, cancelled: Set<BatchId>, askedAt: Moment): RunningSegments {
    val gap = state.confirmedAt?.let { askedAt - it }
    val gapTooLong = gap != null && gap > MAX_CONFIRMATION_GAP
    val dropped = state.running.keys.filter { gapTooLong || it.batch in cancelled }
    return RunningSegments(state.running.mutate { it.keys.removeAll(dropped.toSet()) }, askedAt)
}

/** Whether an item of the segment [id] may start at [now]. */
public fun mayStartItem(state: RunningSegments, id: SegmentId, now: Moment): Boolean {
    val confirmedAt = state.confirmedAt
    return id in state.running && confirmedAt != null && now - confirmedAt < CONFIRMATION_VALIDITY
}
