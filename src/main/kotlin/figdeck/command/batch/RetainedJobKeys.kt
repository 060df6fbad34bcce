package figdeck.command.batch

import figdeck.command.ownership.shardOf
import figdeck.model.BatchId
import figdeck.model.Shard

/** The prefix of the rows that stand as long as anything of a job does. */
public const val RETAINED_JOBS_PREFIX: String = "kept/"

/** The prefix of the rows by which the owner of [shard] finds the jobs whose objects it clears. */
public fun retainedJobsPrefix(shard: Shard): String = "$RETAINED_JOBS_PREFIX${shard.index.padded(SHARD_DIGITS)}/"

/** The key of the row that stands as long as anything of a job does. */
public fun retainedJobKey(id: BatchId): String = "${retainedJobsPrefix(cleanupShard(id))}$id"

/** The shard whose owner clears what is left of a job. */
public fun cleanupShard(id: BatchId): Shard = shardOf("batch", id.value)
