package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobRecord
import figdeck.model.serving.isOpen
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/** A job's record with the version of its row. */
public data class VersionedJob(
    public val record: JobRecord,
    public val version: Long,
)

/**
 * The batch jobs in the store, as known to this host.
 *
 * @property lastUpdateAt when the store last reported changes or that there are none, or null before its first report.
 * @property pendingWrites the records of jobs that this host is currently writing.
 */
public data class JobDirectory(
    public val jobs: PersistentMap<JobId, VersionedJob>,
    public val lastUpdateAt: Moment?,
    public val pendingWrites: PersistentMap<JobId, JobRecord>,
)

/** The directory before the store was read. */
public val emptyJobDirectory: JobDirectory = JobDirectory(persistentMapOf(), null, persistentMapOf())

/** Adds a record unless the same or a later version is known. */
public fun putJob(state: JobDirectory, job: VersionedJob): JobDirectory {
    val known = state.jobs[job.record.id]
    return if (known != null && known.version >= job.version) {
        state
    } else {
        state.copy(jobs = state.jobs.put(job.record.id, job), pendingWrites = state.pendingWrites.remove(job.record.id))
    }
}

/** Drops a job whose record was removed. */
public fun removeJob(state: JobDirectory, id: JobId): JobDirectory = state.copy(jobs = state.jobs.remove(id))

/** Whether the last report of the store is at most [age] old. */
public fun JobDirectory.isFresh(age: Duration, now: Moment): Boolean = lastUpdateAt != null && now - lastUpdateAt <= age

/** The tokens of open and currently written jobs of [team] on [route]. */
public fun JobDirectory.waitingTokens(team: TeamId, route: String): Long {
    val accepted = jobs.values.map { it.record }.filter { it.isOpen }
    return (accepted + pendingWrites.values)
        .filter { it.team == team && it.route == route }
        .sumOf { it.tokens }
}
