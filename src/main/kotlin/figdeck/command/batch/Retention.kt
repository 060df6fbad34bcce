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

/** How long after its start an upload without a job can't be going on any more. */
private val LONGEST_UPLOAD = 1.hours

/** How long the jobs of a team stay readable that no template has. */
private val DEFAULT_RETENTION = 72.hours

/** What is to be done with a job that stands in the platform's services. */
public enum class Disposal {
    /** It is still of use. */
    KEEP,

    /** Its upload never ended: it must never be accepted. */
    ABANDON,

    /** It has outlived its retention, or was abandoned. */
    CLEAR,
}

/** Decides about [kept] by its [job], null without a row, and the [retention] of its team. */
public fun disposalOf(kept: RetainedJob, job: BatchJob?, retention: Duration, now: Moment): Disposal {
    val age = (now.epochMillis - (job?.endedAtMillis ?: kept.writtenAtMillis)).milliseconds
    return when {
        job == null -> if (age > LONGEST_UPLOAD) Disposal.ABANDON else Disposal.KEEP
        job.storedState == StoredJobState.ABANDONED -> Disposal.CLEAR
        job.endedAtMillis != null && age > retention -> Disposal.CLEAR
        else -> Disposal.KEEP
    }
}

/** How long the results of [team] stay readable. */
public fun retentionOf(configuration: Configuration, team: TeamId): Duration =
    configuration.templates.values.firstOrNull { template -> template.teams.any { it.id == team } }?.retention
        ?: DEFAULT_RETENTION

/** The condition under which an upload is abandoned: no job of it was accepted. */
public fun abandonCheck(kept: RetainedJob): RowCheck = RowCheck(jobKey(kept.id), ABSENT)
