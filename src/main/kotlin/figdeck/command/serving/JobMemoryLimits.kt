package figdeck.command.serving

private const val HELD_PARTS = 20
private const val LOADING_PARTS = 20
private const val CACHED_PARTS = 10
private const val PARTS = 100

/**
 * The memory that the items of batch jobs may take on one host, in bytes.
 *
 * @property held for the items of the jobs that run.
 * @property loading for what is needed while items are read from the store and decoded.
 * @property cached for items kept after they were read or stored.
 */
public data class JobMemoryLimits(
    public val held: Long,
    public val loading: Long,
    public val cached: Long,
)

/** Returns the limits for a heap of [heapBytes]: half of it together. */
public fun jobMemoryLimits(heapBytes: Long): JobMemoryLimits = JobMemoryLimits(
    held = heapBytes * HELD_PARTS / PARTS,
    loading = heapBytes * LOADING_PARTS / PARTS,
    cached = heapBytes * CACHED_PARTS / PARTS,
)

/** Whether [bytes] more fit into [limit] beside [used]. What is larger than the limit is admitted alone. */
public fun fitsInMemory(used: Long, bytes: Long, limit: Long): Boolean = used == 0L || used + bytes <= limit
