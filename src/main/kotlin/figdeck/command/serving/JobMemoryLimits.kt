package figdeck.command.serving

private const val HELD_PARTS = 20
private const val LOADING_PARTS = 15
private const val CACHED_PARTS = 8
private const val ANSWER_PARTS = 7
private const val PARTS = 100

/**
 * The memory that batch jobs may take on one host, in bytes.
 *
 * @property held for the items of the jobs that run.
 * @property loading for what is needed while items are read from the store and decoded.
 * @property cached for items and results kept after they were read or stored.
 * @property answers for pages of results that are read from the store and sent to callers.
 */
public data class JobMemoryLimits(
    public val held: Long,
    public val loading: Long,
    public val cached: Long,
    public val answers: Long,
)

/** Returns the limits for a heap of [heapBytes]: half of it together. */
public fun jobMemoryLimits(heapBytes: Long): JobMemoryLimits = JobMemoryLimits(
    held = heapBytes * HELD_PARTS / PARTS,
    loading = heapBytes * LOADING_PARTS / PARTS,
    cached = heapBytes * CACHED_PARTS / PARTS,
    answers = heapBytes * ANSWER_PARTS / PARTS,
)

/** Whether [bytes] more fit into [limit] beside [used]. What is larger than the limit is admitted alone. */
public fun fitsInMemory(used: Long, bytes: Long, limit: Long): Boolean = used == 0L || used + bytes <= limit
