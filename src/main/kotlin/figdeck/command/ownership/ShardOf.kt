package figdeck.command.ownership

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.SHARD_COUNT
import figdeck.model.Shard

/** The shard that an owned thing falls into: its [kind], as in `team`, and its [id] within that kind. */
public fun shardOf(kind: String, id: String): Shard {
    val hash = Hashing.komihash5_0().hashCharsToLong("$kind/$id")
    return Shard(Math.floorMod(hash, SHARD_COUNT))
}
