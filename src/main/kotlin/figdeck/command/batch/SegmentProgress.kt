package figdeck.command.batch

import figdeck.model.BatchJob
import figdeck.model.Fence
import figdeck.model.GroupResult
import figdeck.model.RowCheck
import figdeck.model.Segment
import figdeck.model.StoredJobState

/** The maximum number of items whose results are stored in one object and one transaction. */
public const val GROUP_ITEMS: Int = 100

/**
 * A segment and its job, as its owner last read them.
 *
 * @property jobVersion the version of the job's row, which changes when the job is cancelled.
 * @property version the version of the segment's own row, which changes with each group.
 */
public data class OwnedSegment(
    public val job: BatchJob,
    public val jobVersion: Long,
    public val segment: Segment,
    public val version: Long,
)

/** The next items, at most [size], by their index in the segment; null once every item has its result. */
public fun nextGroup(segment: Segment, size: Int = GROUP_ITEMS): IntRange? {
    val first = segment.finished
    val end = minOf(first + size, segment.items)
    return if (segment.isDone) null else first until end
}

/** A segment's progress after a group, and the conditions in the table under which it is committed. */
public data class GroupCommit(
    public val segment: Segment,
    public val checks: List<RowCheck>,
)

/** Advances [held] past the group [result] under [fence]; the checks fail if the job or the segment has changed. */
public fun commitGroup(held: OwnedSegment, result: GroupResult, fence: Fence): GroupCommit {
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
