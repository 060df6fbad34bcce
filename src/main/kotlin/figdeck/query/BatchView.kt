package figdeck.query

import figdeck.model.BatchJob
import figdeck.model.BatchStatus
import figdeck.model.JobState
import figdeck.model.Segment
import figdeck.model.StoredJobState

/** The status of [job], from its [segments]; with a result for every item it is completed, even if it was cancelled. */
public fun statusOf(job: BatchJob, segments: List<Segment>): BatchStatus {
    val finished = segments.sumOf { it.finished }
    val state = when {
        finished == job.items -> JobState.COMPLETED
        job.storedState == StoredJobState.CANCELLED -> JobState.CANCELLED
        else -> JobState.RUNNING
    }
    return BatchStatus(job, state, finished, segments.sumOf { segment -> segment.groups.sumOf { it.failed } })
}
