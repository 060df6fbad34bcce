package figdeck.command.batch

import figdeck.command.ownership.shardOf
import figdeck.model.BatchId
import figdeck.model.SegmentId
import figdeck.model.Shard
import figdeck.model.TeamId

internal const val SHARD_DIGITS = 4
private const val SEGMENT_DIGITS = 6

/** The prefix of all hints that a segment waits. */
public const val POINTERS_PREFIX: String = "work/"

/** The prefix of all jobs' rows. */
public const val JOBS_PREFIX: String = "batch/"

/** The prefix of the notices of jobs cancelled a short time ago. */
public const val CANCELS_PREFIX: String = "cancel/"

/** The key of a job's row. */
public fun jobKey(id: BatchId): String = "$JOBS_PREFIX$id"

/** The prefix of the rows of all of a job's segments. */
public fun segmentsPrefix(id: BatchId): String = "segment/$id/"

/** The key of a segment's row; the rows of a job sort in item order. */
public fun segmentKey(id: SegmentId): String = segmentsPrefix(id.batch) + id.number.padded(SEGMENT_DIGITS)

/** The shard whose owner runs a segment. */
public fun shardOf(id: SegmentId): Shard = shardOf("segment", id.toString())

/** The prefix of the hints for the owner of [shard]. */
public fun pointersPrefix(shard: Shard): String = "$POINTERS_PREFIX${shard.index.padded(SHARD_DIGITS)}/"

/** The key of the hint that a segment waits. */
public fun pointerKey(id: SegmentId): String =
    "${pointersPrefix(shardOf(id))}${id.batch}/${id.number.padded(SEGMENT_DIGITS)}"

/** The key of the notice that a job was cancelled. */
public fun cancelKey(id: BatchId): String = "$CANCELS_PREFIX$id"

/** The key of the row that leads a resent upload to its first job. */
public fun resendKey(team: TeamId, mark: String): String = "resend/$team/$mark"

internal fun Int.padded(digits: Int): String = toString().padStart(digits, '0')
