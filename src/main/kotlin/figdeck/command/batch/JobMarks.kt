package figdeck.command.batch

import figdeck.model.BatchJob
import figdeck.model.JobMark
import figdeck.model.Moment

/** Marks the [job] completed once every item has its result; null if it has already ended. */
public fun completedJob(job: BatchJob, now: Moment): BatchJob? = ended(job, JobMark.COMPLETED, now)

/** Marks the [job] cancelled; null if it has already ended, so that cancelling changes nothing. */
public fun cancelledJob(job: BatchJob, now: Moment): BatchJob? = ended(job, JobMark.CANCELLED, now)

private fun ended(job: BatchJob, mark: JobMark, now: Moment): BatchJob? = when (job.mark) {
    JobMark.ACCEPTED -> job.copy(mark = mark, endedAtMillis = now.epochMillis)
    JobMark.CANCELLED, JobMark.COMPLETED, JobMark.ABANDONED -> null
}
