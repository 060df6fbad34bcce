package figdeck.model

/** The number of shards over which all owned resources are distributed. Fixed for the lifetime of a deployment. */
public const val SHARD_COUNT: Int = 1024

/** One of [SHARD_COUNT] shards; a shard has at most one owning host at a time. */
@JvmInline
public value class Shard(public val index: Int) : Comparable<Shard> {
    init {
        require(index in 0 until SHARD_COUNT) { "shard $index is out of range: use 0 to ${SHARD_COUNT - 1}" }
    }

    override fun compareTo(other: Shard): Int = index.compareTo(other.index)

    override fun toString(): String = index.toString()
}
