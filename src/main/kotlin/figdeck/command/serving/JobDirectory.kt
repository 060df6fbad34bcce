package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobRecord
import figdeck.model.serving.isOpen
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/** A job's record and the version of its row. */
public data class VersionedJob(
    public val record: JobRecord,
    public val version: Long,
)

/**
 * The batch jobs that the store holds, as far as this host has heard.
 *
 * @property lastUpdateAt when the store last told of changes, or that there are none; null before the first time.
 * @property pendingWrites tokens of jobs that this host is writing at the moment, by team and route.
 */
public data class JobDirectory(
    public val jobs: PersistentMap<JobId, VersionedJob>,
    public val lastUpdateAt: Moment?,
    public val pendingWrites: PersistentMap<JobId, JobRecord>,
)

/** A directory before the store was read. */
public val emptyJobDirectory: JobDirectory = JobDirectory(persistentMapOf(), null, persistentMapOf())

/** Takes a record unless a later one is known. */
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

/** Whether the store has told of changes within [age]. */
public fun JobDirectory.isFresh(age: Duration, now: Moment): Boolean = lastUpdateAt != null && now - lastUpdateAt <= age

/** The tokens of [team] that wait on [route]. */
public fun JobDirectory.waitingTokens(team: TeamId, route: String): Long {
    val accepted = jobs.values.map { it.record }.filter { it.isOpen }
    return (accepted + pendingWrites.values)
        .filter { it.team == team && it.route == route }
        .sumOf { it.tokens }
}
