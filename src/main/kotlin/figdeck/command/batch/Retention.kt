package figdeck.command.batch

import figdeck.model.ABSENT
import figdeck.model.BatchJob
import figdeck.model.Configuration
import figdeck.model.Moment
import figdeck.model.RetainedJob
import figdeck.model.RowCheck
import figdeck.model.StoredJobState
import figdeck.model.TeamId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** How long an upload can take; one that has no job after this time is no longer running. */
private val MAX_UPLOAD_TIME = 1.hours

/** How long the jobs of a team stay readable if no template contains the team. */
private val DEFAULT_RETENTION = 72.hours

/** What to do with a job that is stored in the platform's services. */
public enum class RetentionAction {
    /** Keep the job: it is still in use. */
    KEEP,

    /** Mark the job abandoned: its upload never finished, so it must never be accepted. */
    ABANDON,

    /** Delete the job: its retention has passed, or it was abandoned. */
    DELETE,
}

/** Decides what to do with [kept], given its [job], which is null if it has no row, and its team's [retention]. */
public fun retentionActionOf(kept: RetainedJob, job: BatchJob?, retention: Duration, now: Moment): RetentionAction {
    val age = (now.epochMillis - (job?.endedAtMillis ?: kept.writtenAtMillis)).milliseconds
    return when {
        job == null -> if (age > MAX_UPLOAD_TIME) RetentionAction.ABANDON else RetentionAction.KEEP
        job.storedState == StoredJobState.ABANDONED -> RetentionAction.DELETE
        job.endedAtMillis != null && age > retention -> RetentionAction.DELETE
        else -> RetentionAction.KEEP
    }
}

/** How long the batch results of [team] stay readable. */
public fun retentionOf(configuration: Configuration, team: TeamId): Duration =
    configuration.templates.values.firstOrNull { template -> template.teams.any { it.id == team } }?.retention
        ?: DEFAULT_RETENTION

/** The condition for abandoning an upload: none of its jobs has been accepted. */
public fun noJobCheck(kept: RetainedJob): RowCheck = RowCheck(jobKey(kept.id), ABSENT)
