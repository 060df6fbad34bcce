package figdeck.command.batch

import figdeck.model.BatchJob
import figdeck.model.Fence
import figdeck.model.GroupResult
import figdeck.model.RowCheck
import figdeck.model.Segment
import figdeck.model.StoredJobState

/** The most items whose results are kept by one object and one transaction. */
public const val GROUP_ITEMS: Int = 100

/**
 * A segment as its owner holds it.
 *
 * @property jobVersion the version of the job's row, which changes when the job is cancelled.
 * @property version the version of the segment's own row, which changes with each group.
 */
public data class HeldSegment(
    public val job: BatchJob,
    public val jobVersion: Long,
    public val segment: Segment,
    public val version: Long,
)

/** The next [size] items at most, by their index in the segment; null when every item has its result. */
public fun nextGroup(segment: Segment, size: Int = GROUP_ITEMS): IntRange? {
    val first = segment.finished
    val end = minOf(first + size, segment.items)
    return if (segment.isDone) null else first until end
}

/** A group's progress and what must hold in the table for it to count. */
public data class GroupCommit(
    public val segment: Segment,
    public val checks: List<RowCheck>,
)

/** Moves [held] past the group [result] under [fence]; the table takes it only if nothing has changed meanwhile. */
public fun commitGroup(held: HeldSegment, result: GroupResult, fence: Fence): GroupCommit {
    val left = held.segment.items - held.segment.finished
    require(result.items in 1..left) { "the group has ${result.items} items: give 1 to the $left that are left" }
    require(held.job.storedState == StoredJobState.ACCEPTED) {
        "job ${held.job.id} is ${held.job.storedState}: it takes no more groups"
    }
    val moved = held.segment.copy(groups = held.segment.groups + result)
    val checks = listOf(
        fence.check,
        RowCheck(jobKey(held.job.id), held.jobVersion),
        RowCheck(segmentKey(held.segment.id), held.version),
    )
    return GroupCommit(moved, checks)
}
