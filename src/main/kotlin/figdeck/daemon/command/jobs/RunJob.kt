package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.right
import figdeck.command.serving.VersionedJob
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.valueOrNull
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlin.time.Duration.Companion.milliseconds

private val RETRY_DELAY = 250.milliseconds

/** How long results are collected for one write. */
private val RESULT_BATCH_DELAY = 40.milliseconds

private const val MAX_WRITE_RESULTS = 20
private val partLog = PartLog("jobs")

/**
 * Runs the items of [job] that have no result and stores their results, until all are stored or the job is lost. Waits
 * until there is memory for its items.
 */
internal suspend fun JobServices.runJob(job: VersionedJob, itemPermits: Semaphore): Unit = coroutineScope {
    val start = CompletableDeferred<JobStart>()
    val finished = Channel<FinishedItem>(Channel.UNLIMITED)
    val rounds = ItemRounds(this@runJob, job.record, itemPermits, finished)
    val running = launch { rounds.runUntilCancelled { items -> startJob(job.record, items, start) } }
    val (checkpointer, unlisted) = start.await()
    val checkpointing = launch { checkpointer.checkpointUntilCancelled() }
    val allWritten = ResultWriter(this@runJob, job, unlisted, checkpointer) { refused ->
        rounds.hold(refused, ItemHold.NotProcessable)
    }.writeAll(finished)
    checkpointing.cancel()
    running.cancel()
    if (allWritten) checkpointer.checkpoint()
}

/** @property unlisted the number of items without results. */
private data class JobStart(
    val checkpointer: ProgressCheckpointer,
    val unlisted: Int,
)

/** Returns the items without results and completes [start]; null if the results of the job can't be read now. */
private suspend fun JobServices.startJob(
    record: JobRecord,
    items: List<JobItem>,
    start: CompletableDeferred<JobStart>,
): List<ItemState>? = readListedItems(record)?.let { listed ->
    val checkpointer = ProgressCheckpointer(progress, record.id, newRunId(), loadProgress(record))
    val unlisted = items.withIndex().filter { it.value.id !in listed }
    start.complete(JobStart(checkpointer, unlisted.size))
    unlisted.map { (position, item) ->
        ItemState(position, item.id, item.tokens) { checkpointer.trackOutput(position) }
    }
}

/** Reads the outputs that an earlier owner saved. If they can't be read, the items restart. */
private suspend fun JobServices.loadProgress(record: JobRecord): Map<Int, SavedOutput> {
    val read = progress.read(record.id)
    if (read is CallResult.Done && read.value.isNotEmpty()) {
        log.note("resumed", record.id.value) {
            put("items", read.value.size.toLong())
            put("events", read.value.values.sumOf { it.progress.events.size }.toLong())
        }
    }
    return read.valueOrNull() ?: emptyMap<Int, SavedOutput>().also {
        partLog.warn { "the unfinished outputs of job ${record.id} can't be read: its items restart" }
    }
}

/** Reads the items of [record], once there is memory for it, and caches them, unless another caller has done so. */
internal suspend fun JobServices.readItems(record: JobRecord): Either<String, List<JobItem>> =
    cache.items(record.id)?.right() ?: memory.whileLoading(record) {
        cache.items(record.id)?.right() ?: store.readItems(record).onRight { cache.putItems(record.id, it) }
    }

/** Returns the ids of the items of [record] that have results; null if not all results can be read now. */
private suspend fun JobServices.readListedItems(record: JobRecord): Set<String>? {
    val listed = mutableListOf<String>()
    var isReadable = true
    while (listed.size < record.results && isReadable) {
        val found = resultIdsFrom(record.id, listed.size)
        listed += found
        isReadable = found.isNotEmpty()
    }
    return listed.takeIf { isReadable }?.toSet()
}

/** The ids of the items whose results stand at position [from] and after it; none if they can't be read now. */
private suspend fun JobServices.resultIdsFrom(id: JobId, from: Int): List<String> =
    cache.result(id, from)?.let { listOf(it.item) }
        ?: memory.whileReadingResults { store.readResults(id, from).valueOrNull().orEmpty().map { it.item } }

/**
 * Stores the results of one job. Each write checks the version of the job's record, so only one owner succeeds.
 *
 * @param remaining the number of items without results.
 * @param onRefused receives an item whose result the store refuses even by itself.
 */
private class ResultWriter(
    private val services: JobServices,
    job: VersionedJob,
    private var remaining: Int,
    private val checkpointer: ProgressCheckpointer,
    private val onRefused: (ItemState) -> Unit,
) {
    private var current = job
    private val waiting = ArrayDeque<FinishedItem>()
    private var maxResults = MAX_WRITE_RESULTS

    /** Stores the results from [finished]. Returns false if the job was ended or another host owns it now. */
    suspend fun writeAll(finished: Channel<FinishedItem>): Boolean {
        while (remaining > 0) {
            collect(finished)
            if (!writeBatch(nextBatch())) {
                return false
            }
        }
        return true
    }

    private suspend fun collect(finished: Channel<FinishedItem>) {
        if (waiting.isEmpty()) {
            waiting += finished.receive()
            delay(RESULT_BATCH_DELAY)
        }
        while (waiting.size < MAX_WRITE_RESULTS) {
            waiting += finished.tryReceive().getOrNull() ?: break
        }
    }

    /** The first of the waiting results, as many as one write may hold, and at least one. */
    private fun nextBatch(): List<FinishedItem> {
        val rows = mutableListOf<RowWrite>()
        val record = current.record
        return waiting.take(maxResults).withIndex().takeWhile { (i, item) ->
            rows += services.store.resultRowWrites(record.id, record.results + i, listOf(item.result))
            i == 0 || services.store.fits(record, rows)
        }.map { it.value }
    }

    private suspend fun writeBatch(batch: List<FinishedItem>): Boolean {
        val record = current.record
        val next = record.copy(
            results = record.results + batch.size,
            tokens = record.tokens - batch.sumOf { it.state.tokens },
            writeId = services.newWriteId(),
        )
        val rows = services.store.resultRowWrites(record.id, record.results, batch.map { it.result })
        var isWritten: Boolean? = null
        while (isWritten == null) {
            isWritten = when (val written = services.store.write(next, current.version, rows)) {
                is RecordWrite.Written -> {
                    onWritten(written.job, batch)
                    true
                }
                is RecordWrite.Superseded -> onJobLost(written.current)
                is RecordWrite.Refused -> {
                    onBatchRefused(batch, written.reason)
                    true
                }
                is RecordWrite.NotDone, is RecordWrite.Unknown -> {
                    delay(RETRY_DELAY)
                    null
                }
            }
        }
        return isWritten
    }

    /** Makes the next write smaller, or takes out a result that is refused by itself. */
    private fun onBatchRefused(batch: List<FinishedItem>, reason: String) {
        val refused = batch.first()
        val id = refused.state.id
        services.log.note("results_refused", id) {
            put("job", current.record.id.value)
            put("results", batch.size.toLong())
            put("reason", reason)
        }
        maxResults = (batch.size / 2).coerceAtLeast(1)
        if (batch.size == 1) {
            partLog.error { "the result of item $id of job ${current.record.id} can't be stored: $reason" }
            waiting.removeFirst()
            refused.isSettled.complete(Unit)
            onRefused(refused.state)
        }
    }

    private suspend fun onWritten(job: VersionedJob, batch: List<FinishedItem>) {
        services.cache.putResults(job.record.id, current.record.results, batch.map { it.result })
        services.log.note("listed", job.record.id.value) {
            put("results", job.record.results.toLong())
            put("total", job.record.total.toLong())
            put("given_up", batch.count { !it.result.isComplete }.toLong())
        }
        repeat(batch.size) { waiting.removeFirst() }
        remaining -= batch.size
        maxResults = MAX_WRITE_RESULTS
        batch.forEach { item ->
            checkpointer.discard(item.state.position)
            item.isSettled.complete(Unit)
        }
        current = job
        services.updateJobDirectory(job)
    }

    private suspend fun onJobLost(latest: VersionedJob?): Boolean {
        services.log.note("job_lost", current.record.id.value) {
            put("ended", latest?.record?.isEnded ?: true)
            put("owner", latest?.record?.owner?.host?.value ?: "none")
        }
        latest?.let { services.updateJobDirectory(it) }
        return false
    }
}
