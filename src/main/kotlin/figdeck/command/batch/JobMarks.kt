package figdeck.command.batch

import figdeck.model.BatchJob
import figdeck.model.JobMark
import figdeck.model.Moment

/** The [job], whose every item has its result, marked completed; null when it has ended already. */
public fun completedJob(job: BatchJob, now: Moment): BatchJob? = ended(job, JobMark.COMPLETED, now)

/** The [job] marked cancelled; null when it has ended already and the cancel changes nothing. */
public fun cancelledJob(job: BatchJob, now: Moment): BatchJob? = ended(job, JobMark.CANCELLED, now)

private fun ended(job: BatchJob, mark: JobMark, now: Moment): BatchJob? = when (job.mark) {
    JobMark.ACCEPTED -> job.copy(mark = mark, endedAtMillis = now.epochMillis)
    JobMark.CANCELLED, JobMark.COMPLETED, JobMark.ABANDONED -> null
}
