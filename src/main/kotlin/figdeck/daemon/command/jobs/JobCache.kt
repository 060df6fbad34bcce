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
    private val order = ConcurrentLinkedQueue<JobId>()

    fun items(id: JobId): List<JobItem>? = items[id]

    fun results(id: JobId): List<JobResult> = results[id].orEmpty()

    fun putItems(id: JobId, list: List<JobItem>) {
        note(id)
        items[id] = list
    }

    /** Adds the results that stand from position [from] on; those that leave a gap are not kept. */
    fun addResults(id: JobId, from: Int, list: List<JobResult>) {
        note(id)
        results.compute(id) { _, kept ->
            val known = kept.orEmpty()
            if (from <= known.size && from + list.size > known.size) known + list.drop(known.size - from) else known
        }
    }

    private fun note(id: JobId) {
        if (!items.containsKey(id) && !results.containsKey(id)) {
            order.add(id)
            if (order.size > MAX_JOBS) {
                order.poll()?.let {
                    items.remove(it)
                    results.remove(it)
                }
            }
        }
    }
}
