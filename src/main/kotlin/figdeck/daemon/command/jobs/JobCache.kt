package figdeck.daemon.command.jobs

import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobResult
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

private const val MAX_JOBS = 64

/**
 * Caches the items and results of jobs that this host has read or written. Neither changes once it is in the store, so
 * entries need no invalidation.
 */
internal class JobCache {
    private val items = ConcurrentHashMap<JobId, List<JobItem>>()
    private val results = ConcurrentHashMap<JobId, List<JobResult>>()
    private val insertionOrder = ConcurrentLinkedQueue<JobId>()

    fun items(id: JobId): List<JobItem>? = items[id]

    fun results(id: JobId): List<JobResult> = results[id].orEmpty()

    fun putItems(id: JobId, list: List<JobItem>) {
        evictOldestIfNew(id)
        items[id] = list
    }

    /** Caches the results from position [from] on. Results that would leave a gap are not cached. */
    fun addResults(id: JobId, from: Int, list: List<JobResult>) {
        evictOldestIfNew(id)
        results.compute(id) { _, kept ->
            val known = kept.orEmpty()
            if (from <= known.size && from + list.size > known.size) known + list.drop(known.size - from) else known
        }
    }

    private fun evictOldestIfNew(id: JobId) {
        if (!items.containsKey(id) && !results.containsKey(id)) {
            insertionOrder.add(id)
            if (insertionOrder.size > MAX_JOBS) {
                insertionOrder.poll()?.let {
                    items.remove(it)
                    results.remove(it)
                }
            }
        }
    }
}
