package figdeck.daemon.command.jobs

import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobResult

/** The bytes of a result besides its output. */
private const val RESULT_OVERHEAD_BYTES = 256L
private const val MAX_CHARACTER_BYTES = 2

/**
 * Caches the items and results of jobs that this host has read or written. Neither changes once it is in the store, so
 * entries need no invalidation. What was used longest ago is dropped beyond [maxBytes], and read again when needed.
 */
internal class JobCache(private val maxBytes: Long) {
    private val entries = LinkedHashMap<CacheKey, CacheEntry>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var bytes = 0L

    /** The bytes that the entries take. */
    val usedBytes: Long get() = synchronized(entries) { bytes }

    fun items(id: JobId): List<JobItem>? = (find(CacheKey(id, null)) as? CacheEntry.Items)?.list

    fun result(id: JobId, position: Int): JobResult? = (find(CacheKey(id, position)) as? CacheEntry.Result)?.result

    fun putItems(id: JobId, list: List<JobItem>): Unit = put(CacheKey(id, null), CacheEntry.Items(list))

    /** Caches the results from position [from] on. */
    fun putResults(id: JobId, from: Int, list: List<JobResult>): Unit =
        list.forEachIndexed { i, result -> put(CacheKey(id, from + i), CacheEntry.Result(result)) }

    private fun find(key: CacheKey): CacheEntry? = synchronized(entries) { entries[key] }

    private fun put(key: CacheKey, entry: CacheEntry): Unit = synchronized(entries) {
        bytes += entry.bytes - (entries.put(key, entry)?.bytes ?: 0)
        val oldestFirst = entries.iterator()
        while (bytes > maxBytes && oldestFirst.hasNext()) {
            bytes -= oldestFirst.next().value.bytes
            oldestFirst.remove()
        }
    }

    /** @property position the position of a result; null for the items of the job. */
    private data class CacheKey(
        val id: JobId,
        val position: Int?,
    )

    private sealed interface CacheEntry {
        val bytes: Long

        data class Items(val list: List<JobItem>) : CacheEntry {
            override val bytes = list.heapBytes
        }

        data class Result(val result: JobResult) : CacheEntry {
            override val bytes = result.heapBytes
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}

/** The bytes that this result takes in memory, at most. */
internal val JobResult.heapBytes: Long
    get() = RESULT_OVERHEAD_BYTES + (item.length + output.length) * MAX_CHARACTER_BYTES
