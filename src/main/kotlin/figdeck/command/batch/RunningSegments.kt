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

/** The most segments that one host runs at once. */
public const val MAX_RUNNING_SEGMENTS: Int = 8

/** How long after the last confirmation an item may still start: the bound on work started after a cancel. */
private val CONFIRMATION_VALIDITY = 2.seconds

/** The longest gap between confirmations over which the notices of cancelled jobs are known to be whole. */
private val MAX_CONFIRMATION_GAP = 10.seconds

/**
 * The segments that this host runs.
 *
 * @property confirmedAt when it was last known which jobs are cancelled, counted from the sending of the question.
 */
public data class RunningSegments(
    public val running: PersistentMap<SegmentId, TeamId>,
    public val confirmedAt: Moment?,
)

/** The state of a host that runs nothing. */
public val noSegments: RunningSegments = RunningSegments(persistentMapOf(), null)

/**
 * Fills the free places from [waiting], each with a segment of the team that has the least for its weight. The rows of
 * their jobs are read after [now], which confirms the jobs of a host that ran nothing before.
 */
public fun chooseSegments(
    state: RunningSegments,
    waiting: List<SegmentPointer>,
    weights: Map<TeamId, Int>,
    now: Moment,
): Step<RunningSegments, List<SegmentPointer>> {
    val left = waiting.filterNot { it.id in state.running }.groupByTo(LinkedHashMap()) { it.team }
        .mapValues { ArrayDeque(it.value) }
    val load = state.running.values.groupingBy { it }.eachCount().toMutableMap()
    val chosen = mutableListOf<SegmentPointer>()
    while (state.running.size + chosen.size < MAX_RUNNING_SEGMENTS) {
        val team = left.filterValues { it.isNotEmpty() }.keys
            .minByOrNull { ((load[it] ?: 0) + 1.0) / (weights[it] ?: 1) } ?: break
        chosen += left.getValue(team).removeFirst()
        load.merge(team, 1, Int::plus)
    }
    val running = state.running.mutate { map -> chosen.forEach { map[it.id] = it.team } }
    val confirmedAt = if (state.running.isEmpty()) now else state.confirmedAt
    return Step(RunningSegments(running, confirmedAt), chosen)
}

/** Frees the place of the segment [id]. */
public fun endSegment(state: RunningSegments, id: SegmentId): RunningSegments =
    state.copy(running = state.running.remove(id))

/** Drops the segments of [cancelled] jobs; after too long a gap it drops all, so that each job's row is read again. */
public fun confirmJobs(state: RunningSegments, cancelled: Set<BatchId>, askedAt: Moment): RunningSegments {
    val gap = state.confirmedAt?.let { askedAt - it }
    val gapTooLong = gap != null && gap > MAX_CONFIRMATION_GAP
    val lost = state.running.keys.filter { gapTooLong || it.batch in cancelled }
    return RunningSegments(state.running.mutate { it.keys.removeAll(lost.toSet()) }, askedAt)
}

/** Whether an item of the segment [id] may start at [now]. */
public fun mayStartItem(state: RunningSegments, id: SegmentId, now: Moment): Boolean {
    val confirmedAt = state.confirmedAt
    return id in state.running && confirmedAt != null && now - confirmedAt < CONFIRMATION_VALIDITY
}
