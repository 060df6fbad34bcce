package figdeck.command.batch

import figdeck.model.BatchJob
import figdeck.model.Moment
import figdeck.model.StoredJobState

/** The [job], whose every item has its result, marked completed; null when it has ended already. */
public fun completedJob(job: BatchJob, now: Moment): BatchJob? = ended(job, StoredJobState.COMPLETED, now)

/** The [job] marked cancelled; null when it has ended already and the cancel changes nothing. */
public fun cancelledJob(job: BatchJob, now: Moment): BatchJob? = ended(job, StoredJobState.CANCELLED, now)

private fun ended(job: BatchJob, mark: StoredJobState, now: Moment): BatchJob? = when (job.storedState) {
    StoredJobState.ACCEPTED -> job.copy(storedState = mark, endedAtMillis = now.epochMillis)
    StoredJobState.CANCELLED, StoredJobState.COMPLETED, StoredJobState.ABANDONED -> null
}
