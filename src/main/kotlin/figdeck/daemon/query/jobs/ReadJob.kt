package figdeck.daemon.query.jobs

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import figdeck.command.serving.VersionedJob
import figdeck.command.serving.isFresh
import figdeck.daemon.command.jobs.JobServices
import figdeck.daemon.command.jobs.readItems
import figdeck.daemon.command.jobs.updateJobDirectory
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.serving.isOpen
import figdeck.model.valueOrNull
import figdeck.wire.serving.jsonBytes
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val CHECK_INTERVAL = 60.milliseconds
private val RETRY_AFTER = 500.milliseconds

/** How long a caller waits for items to be read. Reads wait for memory, and a planned stop waits for callers. */
private val ITEMS_TIMEOUT = 3.seconds

/** The longest time since the store's last response for which the job directory counts as current. */
private val MAX_DIRECTORY_AGE = 3_500.milliseconds

/** Limits the results in one response, because the platform limits responses to one megabyte. */
private const val MAX_PAGE_BYTES = 900_000

/** How often a page is in memory while it is sent: its results, the text of the answer, and that in bytes, twice. */
private const val ANSWER_COPIES = 4

/** What a result adds to a response besides its output, at most. */
private const val RESULT_FRAME_BYTES = 400

/**
 * A page of a job's results.
 *
 * @property total the number of items of the job.
 * @property next the position after the last result of the page.
 */
internal data class ResultPage(
    val total: Int,
    val results: List<JobResult>,
    val next: Int,
)

/**
 * Reads the results of the job [id] of [team] from position [after] on, waiting up to [wait] for the first one, and
 * passes them to [answer]. Only as many pages are in memory at a time as there is room for.
 */
internal suspend fun JobServices.answerWithResults(
    id: JobId,
    team: TeamId,
    after: Int,
    wait: Duration,
    answer: suspend (ResultPage) -> Unit,
): Either<Refusal, Unit> = currentRecord(id, team).flatMap { first ->
    val record = awaitResult(first, after, wait)
    if (record.results <= after) {
        answer(ResultPage(record.total, emptyList(), after)).right()
    } else {
        memory.whileAnswering { room ->
            resultsFrom(record, after).map { results ->
                room.resize(results.sumOf { it.pageBytes.toLong() } * ANSWER_COPIES)
                answer(ResultPage(record.total, results, after + results.size))
            }
        } ?: Refusal.Overloaded("reading of results", RETRY_AFTER).left()
    }
}

/** Reads the body of the item [item] of the job [id] of [team]. */
internal suspend fun JobServices.readItemBody(id: JobId, team: TeamId, item: String): Either<Refusal, ByteArray> =
    currentRecord(id, team).flatMap { record ->
        val items = cache.items(id) ?: withTimeoutOrNull(ITEMS_TIMEOUT) { readItems(record).getOrNull() }
        when {
            items == null -> Refusal.StoreUnavailable(RETRY_AFTER).left()
            else -> items.find { it.id == item }?.body?.right() ?: Refusal.NotFound("item $item of job $id").left()
        }
    }

private suspend fun JobServices.currentRecord(id: JobId, team: TeamId): Either<Refusal, JobRecord> {
    val jobs = control.snapshot.jobs
    val known = jobs.jobs[id]?.takeIf { jobs.isFresh(MAX_DIRECTORY_AGE, clock()) || !it.record.isOpen }
    val found: CallResult<VersionedJob?> = known?.let { CallResult.Done(it) } ?: store.read(id)
    return when (found) {
        is CallResult.Done -> {
            val job = found.value
            job?.let { updateJobDirectory(it) }
            if (job == null || job.record.team != team) Refusal.NotFound("job $id").left() else job.record.right()
        }
        is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown ->
            Refusal.StoreUnavailable(RETRY_AFTER).left()
    }
}

private suspend fun JobServices.awaitResult(first: JobRecord, after: Int, wait: Duration): JobRecord {
    val deadline = clock() + wait
    var record = first
    while (record.isOpen && record.results <= after && clock() < deadline) {
        delay(CHECK_INTERVAL)
        record = control.snapshot.jobs.jobs[record.id]?.record ?: record
    }
    return record
}

private val JobResult.pageBytes: Int get() = RESULT_FRAME_BYTES + jsonBytes(output)

private suspend fun JobServices.resultsFrom(record: JobRecord, after: Int): Either<Refusal, List<JobResult>> {
    val page = mutableListOf<JobResult>()
    var bytes = 0
    var isOpen = true
    while (isOpen && after + page.size < record.results) {
        val found = nextResults(record.id, after + page.size)
        if (found.isEmpty() && page.isEmpty()) {
            return Refusal.StoreUnavailable(RETRY_AFTER).left()
        }
        val fitting = found.takeWhile {
            val isFirst = bytes == 0
            bytes += it.pageBytes
            isFirst || bytes <= MAX_PAGE_BYTES
        }
        page += fitting
        isOpen = found.isNotEmpty() && fitting.size == found.size
    }
    return page.right()
}

/** Some results from position [from] on; none if they can't be read now. */
private suspend fun JobServices.nextResults(id: JobId, from: Int): List<JobResult> =
    cache.result(id, from)?.let { listOf(it) }
        ?: store.readResults(id, from).valueOrNull().orEmpty().also { cache.putResults(id, from, it) }
