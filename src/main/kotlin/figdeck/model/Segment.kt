package figdeck.model

/** Identifies a segment of a batch job. */
public data class SegmentId(
    public val batch: BatchId,
    public val number: Int,
) {
    override fun toString(): String = "$batch/$number"
}

/**
 * A group of items whose results are durable.
 *
 * @property objectKey the key of the object that contains the results.
 * @property host the host that ran the group.
 * @property epoch the epoch of the host's ownership when it committed the group.
 */
public data class GroupResult(
    public val objectKey: String,
    public val items: Int,
    public val failed: Int,
    public val host: HostId,
    public val epoch: Epoch,
    public val endedAtMillis: Long,
)

/** A segment and its progress. The results of [groups] are durable, in item order and without gaps. */
public data class Segment(
    public val id: SegmentId,
    public val items: Int,
    public val groups: List<GroupResult>,
) {
    /** The number of items that have their result. */
    public val finished: Int get() = groups.sumOf { it.items }

    /** Whether every item has its result. */
    public val isDone: Boolean get() = finished == items
}

/**
 * A hint that a segment is waiting to be run.
 *
 * @property writtenAtMillis when the upload wrote the hint.
 */
public data class SegmentPointer(
    public val id: SegmentId,
    public val team: TeamId,
    public val writtenAtMillis: Long,
)
