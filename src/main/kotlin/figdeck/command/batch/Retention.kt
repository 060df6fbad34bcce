package figdeck.command.batch

import figdeck.model.ABSENT
import figdeck.model.BatchJob
import figdeck.model.Configuration
import figdeck.model.JobMark
import figdeck.model.KeptJob
import figdeck.model.Moment
import figdeck.model.RowCheck
import figdeck.model.TeamId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** How long after its start an upload without a job can't be going on any more. */
private val MAX_UPLOAD_TIME = 1.hours

/** How long the jobs of a team stay readable that no template has. */
private val DEFAULT_RETENTION = 72.hours

/** What is to be done with a job that stands in the platform's services. */
public enum class RetentionAction {
    /** It is still of use. */
    KEEP,

    /** Its upload never ended: it must never be accepted. */
    ABANDON,

    /** It has outlived its retention, or was abandoned. */
    DELETE,
}

/** Decides about [kept] by its [job], null without a row, and the [retention] of its team. */
public fun retentionActionOf(kept: KeptJob, job: BatchJob?, retention: Duration, now: Moment): RetentionAction {
    val age = (now.epochMillis - (job?.endedAtMillis ?: kept.writtenAtMillis)).milliseconds
    return when {
        job == null -> if (age > MAX_UPLOAD_TIME) RetentionAction.ABANDON else RetentionAction.KEEP
        job.mark == JobMark.ABANDONED -> RetentionAction.DELETE
        job.endedAtMillis != null && age > retention -> RetentionAction.DELETE
        else -> RetentionAction.KEEP
    }
}

/** How long the results of [team] stay readable. */
public fun retentionOf(configuration: Configuration, team: TeamId): Duration =
    configuration.templates.values.firstOrNull { template -> template.teams.any { it.id == team } }?.retention
        ?: DEFAULT_RETENTION

/** The condition under which an upload is abandoned: no job of it was accepted. */
public fun noJobCheck(kept: KeptJob): RowCheck = RowCheck(jobKey(kept.id), ABSENT)
