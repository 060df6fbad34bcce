package figdeck.daemon.command.jobs

import figdeck.command.serving.JobMemoryLimits
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.wire.serving.MAX_ROW_CHARACTERS
import kotlin.time.Duration.Companion.seconds

/** The platform accepts no larger body of a request, in bytes. */
private const val MAX_SUBMISSION_BYTES = 4L * 1024 * 1024

/** How much memory a list of items takes while it is read and decoded, as a multiple of its stored length. */
private const val LOADING_FACTOR = 4
private const val ITEM_OVERHEAD_BYTES = 256L

/**
 * The memory that reading a page of results and answering with it takes: the reply of the store in Base64, its rows,
 * the results, and the answer as text and in bytes.
 */
private const val RESULT_READ_BYTES = 4L * RESULT_PAGE_ROWS * MAX_ROW_CHARACTERS

/** How long a caller waits for the memory that its answer takes. Others wait behind it. */
private val ANSWER_WAIT = 1.seconds

/** The memory of one host for batch jobs. */
internal class JobMemory(limits: JobMemoryLimits) {
    val held = ByteBudget(limits.held)
    private val loading = ByteBudget(limits.loading)
    private val answers = ByteBudget(limits.answers)

    /** The bytes that are reserved for reading and answering with results now. */
    val answerBytes: Long get() = answers.usedBytes

    /** Runs [read], which reads a page of results, once there is room for it. */
    suspend fun <R> whileReadingResults(read: suspend () -> R): R = answers.withBytes(RESULT_READ_BYTES) { read() }

    /**
     * Runs [answer], which reads a page of results and sends it to a caller, once there is room for it. Returns null if
     * there is none in time.
     */
    suspend fun <R : Any> whileAnswering(answer: suspend (ByteBudget.Reservation) -> R): R? =
        answers.withBytesWithin(ANSWER_WAIT, RESULT_READ_BYTES, answer)

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
