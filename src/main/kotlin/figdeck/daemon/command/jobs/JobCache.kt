package figdeck.daemon.command.jobs

import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobResult
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

private const val MAX_JOBS = 64

/**
 * Caches the items and results of jobs that this host has read or written. Neither changes once it is in the store, so
 * entries need no invalidation. Items beyond [maxItemBytes] are dropped, oldest first, and read again when needed.
 */
internal class JobCache(private val maxItemBytes: Long) {
    private val items = LinkedHashMap<JobId, List<JobItem>>()
    private var itemBytes = 0L
    private val results = ConcurrentHashMap<JobId, List<JobResult>>()
    private val insertionOrder = ConcurrentLinkedQueue<JobId>()

    fun items(id: JobId): List<JobItem>? = synchronized(items) { items[id] }

    fun results(id: JobId): List<JobResult> = results[id].orEmpty()

    fun putItems(id: JobId, list: List<JobItem>): Unit = synchronized(items) {
        itemBytes += list.heapBytes - items.remove(id).orEmpty().heapBytes
        items[id] = list
        val oldestFirst = items.iterator()
        while (items.size > MAX_JOBS || itemBytes > maxItemBytes) {
            itemBytes -= oldestFirst.next().value.heapBytes
            oldestFirst.remove()
        }
    }

    /** Caches the results from position [from] on. Results that would leave a gap are not cached. */
    fun addResults(id: JobId, from: Int, list: List<JobResult>) {
        evictOldestResultsIfNew(id)
        results.compute(id) { _, kept ->
            val known = kept.orEmpty()
            if (from <= known.size && from + list.size > known.size) known + list.drop(known.size - from) else known
        }
    }

    private fun evictOldestResultsIfNew(id: JobId) {
        if (!results.containsKey(id)) {
            insertionOrder.add(id)
            if (insertionOrder.size > MAX_JOBS) {
                insertionOrder.poll()?.let { results.remove(it) }
            }
        }
    }
}
