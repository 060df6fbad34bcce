package figdeck.daemon.command.jobs

import figdeck.command.serving.JobMemoryLimits
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.wire.serving.MAX_ROW_CHARACTERS

/** The platform accepts no larger body of a request, in bytes. */
private const val MAX_SUBMISSION_BYTES = 4L * 1024 * 1024

/** How much memory a list of items takes while it is read and decoded, as a multiple of its stored length. */
private const val LOADING_FACTOR = 4
private const val ITEM_OVERHEAD_BYTES = 256L

/** The memory of one host for the items of batch jobs. */
internal class JobMemory(limits: JobMemoryLimits) {
    val held = ByteBudget(limits.held)
    private val loading = ByteBudget(limits.loading)

    /** Runs [load], which reads the items of [record], once there is room for it. */
    suspend fun <R> whileLoading(record: JobRecord, load: suspend () -> R): R =
        loading.withBytes(record.maxItemsBytes * LOADING_FACTOR) { load() }
}

/** The most bytes that the items of the job may take, as far as its record tells. */
internal val JobRecord.maxItemsBytes: Long
    get() = if (chunks == 0) MAX_SUBMISSION_BYTES else chunks.toLong() * MAX_ROW_CHARACTERS

/** The bytes that these items take in memory. */
internal val List<JobItem>.heapBytes: Long get() = sumOf { it.heapBytes }

/** The bytes that this item takes in memory. */
internal val JobItem.heapBytes: Long
    get() {
        val headerCharacters = headers.entries.sumOf { it.key.length + it.value.length }
        return ITEM_OVERHEAD_BYTES + body.size + path.length + headerCharacters
    }
