package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobRecord
import figdeck.model.serving.isOpen
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration

/** How many closed jobs a host knows without asking the store: those of some minutes on a large fleet. */
internal const val MAX_CLOSED_JOBS: Int = 1_000

/** A job's record with the version of its row. */
public data class VersionedJob(
    public val record: JobRecord,
    public val version: Long,
)

/** The work for which the limit of waiting tokens counts. */
public data class WaitingWork(
    public val team: TeamId,
    public val route: String,
)

/**
 * The batch jobs in the store, as known to this host: all open ones, and those that were closed last.
 *
 * @property lastUpdateAt when the store last reported changes or that there are none, or null before its first report.
 * @property closed the closed jobs among [jobs], the one that was learned first in front.
 * @property pendingWrites the records of jobs that this host is currently writing.
 * @property waiting the tokens of open jobs and pending writes, without work that has none.
 */
public data class JobDirectory(
    public val jobs: PersistentMap<JobId, VersionedJob>,
    public val lastUpdateAt: Moment?,
    public val closed: PersistentSet<JobId>,
    public val pendingWrites: PersistentMap<JobId, JobRecord>,
    public val waiting: PersistentMap<WaitingWork, Long>,
)

/** The directory before the store was read. */
public val emptyJobDirectory: JobDirectory =
    JobDirectory(persistentMapOf(), null, persistentSetOf(), persistentMapOf(), persistentMapOf())

/** Adds a record unless the same or a later version is known. */
public fun putJob(state: JobDirectory, job: VersionedJob): JobDirectory {
    val id = job.record.id
    val known = state.jobs[id]
    return if (known != null && known.version >= job.version) {
        state
    } else {
        val left = removePending(removeJob(state, id), id)
        val added = left.copy(jobs = left.jobs.put(id, job))
        if (job.record.isOpen) added.addWaiting(job.record, 1) else added.copy(closed = added.closed.add(id)).trimmed()
    }
}

/** Drops a job whose record was removed. */
public fun removeJob(state: JobDirectory, id: JobId): JobDirectory {
    val known = state.jobs[id]?.record ?: return state
    val left = state.copy(jobs = state.jobs.remove(id), closed = state.closed.remove(id))
    return if (known.isOpen) left.addWaiting(known, -1) else left
}

/** Counts the tokens of [record], which this host is about to write. */
public fun addPending(state: JobDirectory, record: JobRecord): JobDirectory {
    val left = removePending(state, record.id)
    return left.copy(pendingWrites = left.pendingWrites.put(record.id, record)).addWaiting(record, 1)
}

/** No longer counts the tokens of the pending write of job [id]. */
public fun removePending(state: JobDirectory, id: JobId): JobDirectory {
    val pending = state.pendingWrites[id] ?: return state
    return state.copy(pendingWrites = state.pendingWrites.remove(id)).addWaiting(pending, -1)
}

/** Replaces all jobs by [open], the open ones in the store. Jobs of later versions are known already and stay. */
public fun replaceOpenJobs(state: JobDirectory, open: List<VersionedJob>): JobDirectory {
    val ids = open.map { it.record.id }.toSet()
    val kept = state.jobs.keys.filter { it !in ids }.fold(state) { left, id -> removeJob(left, id) }
    return open.fold(kept) { all, job -> putJob(all, job) }
}

/** Whether the last report of the store is at most [age] old. */
public fun JobDirectory.isFresh(age: Duration, now: Moment): Boolean = lastUpdateAt != null && now - lastUpdateAt <= age

/** The tokens of open and currently written jobs of [team] on [route]. */
public fun JobDirectory.waitingTokens(team: TeamId, route: String): Long = waiting[WaitingWork(team, route)] ?: 0

/** Adds the tokens of [record] [times] times. */
private fun JobDirectory.addWaiting(record: JobRecord, times: Int): JobDirectory {
    val work = WaitingWork(record.team, record.route)
    val tokens = (waiting[work] ?: 0) + times * record.tokens
    return copy(waiting = if (tokens == 0L) waiting.remove(work) else waiting.put(work, tokens))
}

private fun JobDirectory.trimmed(): JobDirectory =
    if (closed.size > MAX_CLOSED_JOBS) removeJob(this, closed.first()) else this
