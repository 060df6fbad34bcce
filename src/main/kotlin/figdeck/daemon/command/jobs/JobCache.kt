package figdeck.daemon.command.jobs

import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobResult
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

private const val MAX_JOBS = 64

/** Items and results of jobs that this host has read or written; neither changes once it is in the store. */
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

    /** Adds the results that stand from position [from] on; those that leave a gap are not kept. */
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
