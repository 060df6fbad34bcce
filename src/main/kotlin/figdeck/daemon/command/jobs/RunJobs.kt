package figdeck.daemon.command.jobs

import figdeck.command.serving.VersionedJob
import figdeck.control.serving.ServingState
import figdeck.log.PartLog
import figdeck.model.Moment
import figdeck.model.serving.JobId
import figdeck.model.serving.isOpen
import figdeck.query.serving.liveMembers
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val CHECK_INTERVAL = 150.milliseconds

/**
 * How long an owner must be missing before its jobs are taken over, unless its host has restarted. It is longer than a
 * lease renewal, so that a new host appears in the member list first.
 */
private val ORPHAN_TIMEOUT = 1_300.milliseconds
private val MAX_SCAN_AGE = 3.seconds

private val RESTART_DELAY = 1.seconds
private val partLog = PartLog("jobs")

/** The most items that one host runs concurrently. */
private const val MAX_RUNNING_ITEMS = 48

/** Runs the open jobs that this host owns and takes over jobs whose owner is lost, until cancelled. */
internal suspend fun JobServices.runJobs(): Unit = coroutineScope {
    val running = mutableMapOf<JobId, Job>()
    val orphans = mutableMapOf<JobId, Moment>()
    val semaphore = Semaphore(MAX_RUNNING_ITEMS)
    var stranded = emptySet<JobId>()
    while (true) {
        delay(CHECK_INTERVAL)
        val state = control.snapshot
        val open = state.jobs.jobs.values.filter { it.record.isOpen }
        cancelLostJobs(running, open)
        // Jobs wait for memory in the order of their submission.
        val started = open.filter { it.record.owner == self && it.record.id !in running }
        for (job in started.sortedBy { it.record.submittedAtMillis }) {
            running[job.record.id] = launch { runContained(job, semaphore) }
        }
        // A host that is stopping would leave the jobs to yet another owner.
        val missing = if (state.stop == null) findOrphans(state, open) else emptyList()
        orphans.keys.retainAll(missing.map { it.record.id }.toSet())
        missing.forEach { orphans.putIfAbsent(it.record.id, clock()) }
        val restarted = state.fleet.liveMembers().map { it.host }.toSet()
        val lost = missing.filter {
            val missingFor = clock() - orphans.getValue(it.record.id)
            missingFor > ORPHAN_TIMEOUT ||
                (it.record.owner.host in restarted && it.record.age(clock()) > ORPHAN_TIMEOUT)
        }
        val now = clock()
        val assigned = lost.map { LostJob(it, state.adopterOf(it.record, now)) }
        assigned.filter { it.adopter?.host == self.host }.forEach { adopt(it.job) }
        stranded = noteStranded(state, assigned, stranded)
    }
}

/**
 * Runs [job] so that its failure ends no other job, nor this host and then each host that takes it over. A job that
 * failed is started again with its latest record.
 */
@Suppress("TooGenericExceptionCaught") // Whatever fails in a job, the others go on.
private suspend fun JobServices.runContained(job: VersionedJob, itemPermits: Semaphore) {
    try {
        runJob(job, itemPermits)
    } catch (e: Exception) {
        // Only a cancellation of this run ends it, not that of something it waited for.
        currentCoroutineContext().ensureActive()
        onJobFailed(job, e)
    } catch (e: Error) {
        onJobFailed(job, e)
    }
}

private suspend fun onJobFailed(job: VersionedJob, failure: Throwable) {
    partLog.error(failure) { "job ${job.record.id} failed and starts again" }
    delay(RESTART_DELAY)
}

private fun JobServices.cancelLostJobs(running: MutableMap<JobId, Job>, open: List<VersionedJob>) {
    val own = open.filter { it.record.owner == self }.map { it.record.id }.toSet()
    running.filterKeys { it !in own }.values.forEach { it.cancel() }
    running.entries.removeIf { (id, job) -> id !in own || job.isCompleted }
}

private fun JobServices.findOrphans(state: ServingState, open: List<VersionedJob>): List<VersionedJob> {
    val scan = state.fleet.scan
    val known = scan != null && clock() - scan.sentAt < MAX_SCAN_AGE && state.fleet.renewedAt != null
    val incarnations = state.fleet.liveMembers().associate { it.host to it.incarnation }
    return if (known) open.filter { incarnations[it.record.owner.host] != it.record.owner.incarnation } else emptyList()
}

private suspend fun JobServices.adopt(job: VersionedJob) {
    val adopted = job.record.copy(owner = self, writeId = newWriteId())
    val written = store.write(adopted, job.version)
    log.note("adopted", job.record.id.value) {
        put("from", job.record.owner.host.value)
        put("results", job.record.results.toLong())
        put("outcome", written::class.simpleName.orEmpty())
    }
    when (written) {
        is RecordWrite.Written -> updateJobDirectory(written.job)
        is RecordWrite.Superseded -> written.current?.let { updateJobDirectory(it) }
        is RecordWrite.NotDone, is RecordWrite.Refused, is RecordWrite.Unknown -> Unit
    }
}
