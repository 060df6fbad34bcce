package figdeck.command.batch

import figdeck.command.ownership.shardOf
import figdeck.model.BatchId
import figdeck.model.Shard

/** The key prefix of the rows that exist as long as any data of a job is stored. */
public const val RETAINED_JOBS_PREFIX: String = "kept/"

/** The key prefix of the rows by which the owner of [shard] finds the jobs whose objects it deletes. */
public fun retainedJobsPrefix(shard: Shard): String = "$RETAINED_JOBS_PREFIX${shard.index.padded(SHARD_DIGITS)}/"

/** The key of the row that exists as long as any data of the job is stored. */
public fun retainedJobKey(id: BatchId): String = "${retainedJobsPrefix(cleanupShard(id))}$id"

/** The shard whose owner deletes the remaining data of a job. */
public fun cleanupShard(id: BatchId): Shard = shardOf("batch", id.value)
