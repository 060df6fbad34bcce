package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.right
import figdeck.command.serving.VersionedJob
import figdeck.control.serving.routeOf
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.Known
import figdeck.model.RowWrite
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.valueOrNull
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val RETRY_DELAY = 250.milliseconds

/** How long results are collected for one write. */
private val RESULT_BATCH_DELAY = 40.milliseconds

private const val MAX_WRITE_RESULTS = 20
private val HELD_ITEM_CHECK_INTERVAL = 1.seconds
private val partLog = PartLog("jobs")

/**
 * Runs the items of [job] that have no result and stores their results, until all are stored or the job is lost. Waits
 * until there is memory for its items.
 */
internal suspend fun JobServices.runJob(job: VersionedJob, itemPermits: Semaphore): Unit =
    memory.held.withBytes(job.record.maxItemsBytes) { room ->
        val items = loadItems(job.record)
        room.resize(items.heapBytes)
        runItems(job, items, itemPermits)
    }

private suspend fun JobServices.runItems(job: VersionedJob, items: List<JobItem>, itemPermits: Semaphore) {
    val alreadyListed = loadResults(job.record).map { it.item }.toSet()
    val pending = items.withIndex().filter { it.value.id !in alreadyListed }
    val checkpointer = ProgressCheckpointer(progress, job.record.id, newRunId(), loadProgress(job.record))
    coroutineScope {
        val checkpointing = launch { checkpointer.checkpointUntilCancelled() }
        val finished = Channel<JobResult>(Channel.UNLIMITED)
        pending.forEach { (position, item) ->
            launch {
                val runner by lazy { ItemRunner(this@runItems, job.record, item, checkpointer.trackOutput(position)) }
                finished.send(runUntilFinished(itemPermits) { runner.run() })
            }
        }
        val allWritten = ResultWriter(this@runItems, job, pending, checkpointer) { refused ->
            launch { finished.send(giveUpWhenDue(job.record, refused.item)) }
        }.writeAll(finished)
        checkpointing.cancel()
        if (allWritten) checkpointer.checkpoint() else coroutineContext.cancelChildren()
    }
}

/** Repeats [run] until it has a result. No permit is held between two runs, so a quarantined item delays no other. */
private suspend fun runUntilFinished(itemPermits: Semaphore, run: suspend () -> JobResult?): JobResult {
    var result = itemPermits.withPermit { run() }
    while (result == null) {
        delay(HELD_ITEM_CHECK_INTERVAL)
        result = itemPermits.withPermit { run() }
    }
    return result
}

/** Waits until the item whose result can't be stored may be given up. */
private suspend fun JobServices.giveUpWhenDue(record: JobRecord, item: String): JobResult {
    do delay(HELD_ITEM_CHECK_INTERVAL) while (!mayGiveUpItemsOf(record))
    return JobResult(item, isComplete = false, output = "")
}

private fun JobServices.mayGiveUpItemsOf(record: JobRecord): Boolean =
    when (val route = control.snapshot.routeOf(record)) {
        Known.NotRead -> false
        is Known.Absent -> true
        is Known.Present -> route.value.isExpired(record.age(clock()))
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

private suspend fun JobServices.loadItems(record: JobRecord): List<JobItem> {
    var items = cache.items(record.id)
    while (items == null) {
        items = readItems(record).fold(
            { fault ->
                partLog.warn { fault }
                delay(RETRY_DELAY)
                null
            },
            { it },
        )
    }
    return items
}

/** Reads the items of [record], once there is memory for it, and caches them, unless another caller has done so. */
internal suspend fun JobServices.readItems(record: JobRecord): Either<String, List<JobItem>> =
    memory.whileLoading(record) {
        cache.items(record.id)?.right() ?: store.readItems(record).onRight { cache.putItems(record.id, it) }
    }

private suspend fun JobServices.loadResults(record: JobRecord): List<JobResult> {
    // Kept here as well: the cache may drop them at any time.
    var known = cache.results(record.id)
    while (known.size < record.results) {
        val found = store.readResults(record.id, known.size).valueOrNull().orEmpty()
        if (found.isEmpty()) delay(RETRY_DELAY) else cache.addResults(record.id, known.size, found)
        known = known + found
    }
    return known
}

/**
 * Stores the results of one job. Each write checks the version of the job's record, so only one owner succeeds.
 *
 * @param onRefused receives a result that the store refuses even by itself.
 */
private class ResultWriter(
    private val services: JobServices,
    job: VersionedJob,
    pending: List<IndexedValue<JobItem>>,
    private val checkpointer: ProgressCheckpointer,
    private val onRefused: (JobResult) -> Unit,
) {
    private var current = job
    private val tokens = pending.associate { it.value.id to it.value.tokens }
    private val positions = pending.associate { it.value.id to it.index }
    private var remaining = pending.size
    private val waiting = ArrayDeque<JobResult>()
    private var maxResults = MAX_WRITE_RESULTS

    /** Stores the results from [finished]. Returns false if the job was ended or another host owns it now. */
    suspend fun writeAll(finished: Channel<JobResult>): Boolean {
        while (remaining > 0) {
            collect(finished)
            if (!writeBatch(nextBatch())) {
                return false
            }
        }
        return true
    }

    private suspend fun collect(finished: Channel<JobResult>) {
        if (waiting.isEmpty()) {
            waiting += finished.receive()
            delay(RESULT_BATCH_DELAY)
        }
        while (waiting.size < MAX_WRITE_RESULTS) {
            waiting += finished.tryReceive().getOrNull() ?: break
        }
    }

    /** The first of the waiting results, as many as one write may hold, and at least one. */
    private fun nextBatch(): List<JobResult> {
        val rows = mutableListOf<RowWrite>()
        val record = current.record
        return waiting.take(maxResults).withIndex().takeWhile { (i, result) ->
            rows += services.store.resultRowWrites(record.id, record.results + i, listOf(result))
            i == 0 || services.store.fits(record, rows)
        }.map { it.value }
    }

    private suspend fun writeBatch(batch: List<JobResult>): Boolean {
        val record = current.record
        val next = record.copy(
            results = record.results + batch.size,
            tokens = record.tokens - batch.sumOf { tokens[it.item] ?: 0 },
            writeId = services.newWriteId(),
        )
        val rows = services.store.resultRowWrites(record.id, record.results, batch)
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
    private fun onBatchRefused(batch: List<JobResult>, reason: String) {
        val refused = batch.first()
        services.log.note("results_refused", refused.item) {
            put("job", current.record.id.value)
            put("results", batch.size.toLong())
            put("reason", reason)
        }
        maxResults = (batch.size / 2).coerceAtLeast(1)
        if (batch.size == 1) {
            partLog.error { "the result of item ${refused.item} of job ${current.record.id} can't be stored: $reason" }
            waiting.removeFirst()
            onRefused(refused)
        }
    }

    private suspend fun onWritten(job: VersionedJob, batch: List<JobResult>) {
        services.cache.addResults(job.record.id, current.record.results, batch)
        services.log.note("listed", job.record.id.value) {
            put("results", job.record.results.toLong())
            put("total", job.record.total.toLong())
            put("given_up", batch.count { !it.isComplete }.toLong())
        }
        repeat(batch.size) { waiting.removeFirst() }
        remaining -= batch.size
        maxResults = MAX_WRITE_RESULTS
        batch.mapNotNull { positions[it.item] }.forEach { checkpointer.discard(it) }
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
