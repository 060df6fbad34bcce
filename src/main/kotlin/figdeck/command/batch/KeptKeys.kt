package figdeck.command.batch

import figdeck.command.ownership.shardOf
import figdeck.model.BatchId
import figdeck.model.Shard

/** The prefix of the rows that stand as long as anything of a job does. */
public const val KEPT_PREFIX: String = "kept/"

/** The prefix of the rows by which the owner of [shard] finds the jobs whose objects it clears. */
public fun keptPrefix(shard: Shard): String = "$KEPT_PREFIX${shard.index.padded(SHARD_DIGITS)}/"

/** The key of the row that stands as long as anything of a job does. */
public fun keptKey(id: BatchId): String = "${keptPrefix(keeperShard(id))}$id"

/** The shard whose owner clears what is left of a job. */
public fun keeperShard(id: BatchId): Shard = shardOf("batch", id.value)
