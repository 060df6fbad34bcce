package figdeck.command.ownership

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.HostId
import figdeck.model.SHARD_COUNT
import figdeck.model.Shard

/** The preferred owner of each shard, by rendezvous hashing over [hosts]. */
public data class Preferences(
    public val hosts: Set<HostId>,
    private val owners: List<HostId>,
) {
    /** The preferred owner of [shard], or null if there are no hosts. */
    public fun ownerOf(shard: Shard): HostId? = owners.getOrNull(shard.index)

    /** The shards whose preferred owner is [host]. */
    public fun shardsOf(host: HostId): List<Shard> =
        owners.indices.filter { owners[it] == host }.map { Shard(it) }
}

/** Chooses the host with the highest hash for each shard; a host that joins or leaves moves only its own shards. */
public fun preferencesOf(hosts: Set<HostId>): Preferences {
    if (hosts.isEmpty()) {
        return Preferences(hosts, emptyList())
    }
    val hasher = Hashing.komihash5_0()
    val hashes = hosts.sortedBy { it.value }.map { it to hasher.hashCharsToLong(it.value) }
    val owners = List(SHARD_COUNT) { shard ->
        hashes.maxBy { (_, hash) -> hasher.hashLongIntToLong(hash, shard) }.first
    }
    return Preferences(hosts, owners)
}
