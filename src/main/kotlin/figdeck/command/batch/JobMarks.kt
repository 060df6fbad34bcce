package figdeck.command.batch

import figdeck.model.BatchJob
import figdeck.model.Moment
import figdeck.model.StoredJobState

/** Marks the [job] completed once every item has its result; null if it has already ended. */
public fun completedJob(job: BatchJob, now: Moment): BatchJob? = ended(job, StoredJobState.COMPLETED, now)

/** Marks the [job] cancelled; null if it has already ended, so that cancelling changes nothing. */
public fun cancelledJob(job: BatchJob, now: Moment): BatchJob? = ended(job, StoredJobState.CANCELLED, now)

private fun ended(job: BatchJob, mark: StoredJobState, now: Moment): BatchJob? = when (job.storedState) {
    StoredJobState.ACCEPTED -> job.copy(storedState = mark, endedAtMillis = now.epochMillis)
    StoredJobState.CANCELLED, StoredJobState.COMPLETED, StoredJobState.ABANDONED -> null
}
