package figdeck.daemon.command.jobs

import figdeck.command.serving.VersionHistory
import figdeck.command.serving.VersionedJob
import figdeck.command.serving.isExpired
import figdeck.command.serving.noVersionHistory
import figdeck.command.serving.observe
import figdeck.command.serving.versionBefore
import figdeck.log.PartLog
import figdeck.log.orWarn
import figdeck.model.Row
import figdeck.model.valueOrNull
import figdeck.query.serving.settledOwner
import figdeck.store.Store
import figdeck.store.query.RowPage
import figdeck.store.query.TableFeed
import figdeck.wire.serving.JOB_TABLE
import figdeck.wire.serving.decodeJobRecord
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The key of the fleet's ownership of clearing. */
private const val CLEARING_KEY = "jobs/clearing"
private val PASS_INTERVAL = 15.seconds
private val SWEEP_INTERVAL = 1.hours

/** Covers late calls to the store and resends of submissions, which come some seconds after the first one. */
private val RETENTION_MARGIN = 30.seconds
private const val PAGE_ROWS = 200

/** Limits what clearing takes of the calls that the store allows for the whole fleet, to about 50 in a second. */
internal val CLEARING_TIME_PER_CALL: Duration = 20.milliseconds
private val partLog = PartLog("jobs")

/**
 * What clearing needs of the store besides the services of batch jobs.
 *
 * @property keep how long a closed job is kept after the last write of its record.
 * @property countCleared counts a deleted job in the metrics.
 */
internal data class JobClearing(
    val feed: TableFeed,
    val store: Store,
    val keep: Duration,
    val passInterval: Duration = PASS_INTERVAL,
    val sweepInterval: Duration = SWEEP_INTERVAL,
    val countCleared: () -> Unit = {},
)

/** How long closed jobs are kept if callers may ask for them for [retention] after their submission. */
internal fun keptFor(retention: Duration): Duration = retention + RETENTION_MARGIN

/**
 * Deletes closed jobs whose results are owed no longer, until cancelled. One host of the fleet does so at a time. If
 * two do for a moment, the second one finds nothing left.
 */
internal suspend fun JobServices.clearJobs(clearing: JobClearing) {
    var history = noVersionHistory
    var sweptAt = clock()
    while (true) {
        delay(clearing.passInterval)
        if (isClearingOwner()) {
            history = clearOnce(clearing, history)
            if (clock() - sweptAt >= clearing.sweepInterval) {
                sweptAt = clock()
                sweep(clearing)
            }
        }
    }
}

/** Removes rows of jobs and hosts that are gone. */
private suspend fun JobServices.sweep(clearing: JobClearing) {
    val rows = clearing.sweepOrphans()
    val hosts = clearing.removeGoneHosts(control.snapshot)
    if (rows > 0 || hosts.isNotEmpty()) {
        log.note("swept", self.host.value) {
            put("rows_without_job", rows.toLong())
            put("hosts", hosts.joinToString(" "))
        }
    }
}

/** Watches the versions of the store, and deletes the jobs that have expired. Returns the versions watched so far. */
internal suspend fun JobServices.clearOnce(clearing: JobClearing, watched: VersionHistory): VersionHistory {
    val first = clearing.feed.page(JOB_TABLE, "", 1).valueOrNull() ?: return watched
    val history = watched.observe(first.version, clearing.keep, clock())
    if (history.versionBefore(clearing.keep, clock()) != null) {
        clearExpired(clearing, history)
    }
    return history
}

private suspend fun JobServices.clearExpired(clearing: JobClearing, history: VersionHistory) {
    var after: String? = ""
    while (after != null && isClearingOwner()) {
        val page = clearing.feed.page(JOB_TABLE, after, PAGE_ROWS).valueOrNull()
        delay(CLEARING_TIME_PER_CALL)
        val expired = page?.rows.orEmpty()
            .mapNotNull { versionedJob(it) }
            .filter { history.isExpired(it, clearing.keep, clock()) }
        after = if (clearAll(clearing, expired)) page?.nextKey else null
    }
}

/** Deletes [expired] one after the other. Returns false if the store doesn't answer now. */
private suspend fun JobServices.clearAll(clearing: JobClearing, expired: List<VersionedJob>): Boolean {
    val left = ArrayDeque(expired)
    var isAnswering = true
    while (isAnswering && left.isNotEmpty()) {
        isAnswering = clear(clearing, left.removeFirst()) != DeletionOutcome.INTERRUPTED
    }
    return isAnswering
}

private suspend fun JobServices.clear(clearing: JobClearing, job: VersionedJob): DeletionOutcome {
    val deletion = clearing.store.deleteJob(job)
    log.note("cleared", job.record.id.value) {
        put("version", job.version)
        put("results", job.record.results.toLong())
        put("calls", deletion.calls.toLong())
        put("outcome", deletion.outcome.name.lowercase())
    }
    if (deletion.outcome == DeletionOutcome.DONE) clearing.countCleared()
    delay(CLEARING_TIME_PER_CALL * deletion.calls)
    return deletion.outcome
}

private fun JobServices.isClearingOwner(): Boolean {
    val state = control.snapshot
    return state.stop == null && state.fleet.settledOwner(CLEARING_KEY, clock())?.host == state.fleet.self.host
}

private fun versionedJob(row: Row): VersionedJob? =
    decodeJobRecord(row.key, row.value).orWarn(partLog)?.let { VersionedJob(it, row.version) }

private val RowPage.nextKey: String? get() = rows.lastOrNull()?.key?.takeIf { hasMore }
