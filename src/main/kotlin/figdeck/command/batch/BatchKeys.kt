package figdeck.command.batch

import figdeck.command.ownership.shardOf
import figdeck.model.BatchId
import figdeck.model.SegmentId
import figdeck.model.Shard
import figdeck.model.TeamId

internal const val SHARD_DIGITS = 4
private const val SEGMENT_DIGITS = 6

/** The key prefix of the pointers to segments that wait for a host to run them. */
public const val POINTERS_PREFIX: String = "work/"

/** The key prefix of job rows. */
public const val JOBS_PREFIX: String = "batch/"

/** The key prefix of the notices of recently cancelled jobs. */
public const val CANCELS_PREFIX: String = "cancel/"

/** The key of a job's row. */
public fun jobKey(id: BatchId): String = "$JOBS_PREFIX$id"

/** The key prefix of the rows of all segments of a job. */
public fun segmentsPrefix(id: BatchId): String = "segment/$id/"

/** The key of a segment's row; the keys of a job's segments sort in item order. */
public fun segmentKey(id: SegmentId): String = segmentsPrefix(id.batch) + id.number.padded(SEGMENT_DIGITS)

/** The shard whose owner runs a segment. */
public fun shardOf(id: SegmentId): Shard = shardOf("segment", id.toString())

/** The key prefix of the pointers to waiting segments of [shard], for its owner. */
public fun pointersPrefix(shard: Shard): String = "$POINTERS_PREFIX${shard.index.padded(SHARD_DIGITS)}/"

/** The key of the pointer to a waiting segment. */
public fun pointerKey(id: SegmentId): String =
    "${pointersPrefix(shardOf(id))}${id.batch}/${id.number.padded(SEGMENT_DIGITS)}"

/** The key of the notice that a job has been cancelled. */
public fun cancelKey(id: BatchId): String = "$CANCELS_PREFIX$id"

/**
 * The key of the row that maps a repeated upload to its first job. [uploadId] identifies the upload within the team: a
 * hash of the idempotency key, or else of the body.
 */
public fun resendKey(team: TeamId, uploadId: String): String = "resend/$team/$uploadId"

internal fun Int.padded(digits: Int): String = toString().padStart(digits, '0')
