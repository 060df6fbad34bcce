package figdeck.command.batch

import figdeck.model.BatchJob
import figdeck.model.JobMark
import figdeck.model.Moment
import figdeck.model.Segment

/** The [job] marked completed if each of its [segments] is done; null while one is not. */
public fun completedJob(job: BatchJob, segments: List<Segment>, now: Moment): BatchJob? {
    val done = segments.size == job.segments && segments.all { it.isDone }
    return if (done) job.copy(mark = JobMark.COMPLETED, endedAtMillis = now.epochMillis) else null
}

/** The [job] marked cancelled; null when it has ended already and the cancel changes nothing. */
public fun cancelledJob(job: BatchJob, now: Moment): BatchJob? = when (job.mark) {
    JobMark.ACCEPTED -> job.copy(mark = JobMark.CANCELLED, endedAtMillis = now.epochMillis)
    JobMark.CANCELLED, JobMark.COMPLETED, JobMark.ABANDONED -> null
}
