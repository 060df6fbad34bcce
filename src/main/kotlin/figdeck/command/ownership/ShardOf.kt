package figdeck.command.ownership

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.SHARD_COUNT
import figdeck.model.Shard

/** The shard of an owned resource, given by its [kind], such as `team`, and its [id] within that kind. */
public fun shardOf(kind: String, id: String): Shard {
    val hash = Hashing.komihash5_0().hashCharsToLong("$kind/$id")
    return Shard(Math.floorMod(hash, SHARD_COUNT))
}
