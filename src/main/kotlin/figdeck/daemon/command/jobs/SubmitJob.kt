package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.Step
import figdeck.command.serving.VersionedJob
import figdeck.command.serving.addPending
import figdeck.command.serving.removePending
import figdeck.command.serving.waitingTokens
import figdeck.control.serving.updateJobs
import figdeck.model.CallResult
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.ServingTeam
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val RETRY_DELAY = 100.milliseconds

/** How long writes to the store are retried before the job is refused; another host may reach the store. */
private val STORE_TIMEOUT = 1_200.milliseconds
private val STORE_RETRY_AFTER = 500.milliseconds
private val TOKENS_RETRY_AFTER = 2.seconds

/**
 * A batch job as submitted by a caller.
 *
 * @property planVersion the version of the plan that allows it; null if that is unknown.
 */
internal data class Submission(
    val id: JobId,
    val team: ServingTeam,
    val route: ServingRoute,
    val items: List<JobItem>,
    val planVersion: Long? = null,
)

/** Stores a new job durably or refuses it. */
internal typealias PersistJob = suspend (JobRecord) -> Either<Refusal, Unit>

/** Stores [submission] durably at this host or refuses it. A job that is already stored is accepted again. */
internal suspend fun JobServices.submit(submission: Submission): Either<Refusal, Unit> =
    submit(submission) { persist(it, submission) }

/**
 * Checks [submission] and stores it with [persist]. A host without the store doesn't know which jobs have ended, so it
 * leaves the limit of waiting tokens to the host that stores the job.
 */
internal suspend fun JobServices.submit(submission: Submission, persist: PersistJob): Either<Refusal, Unit> {
    val known = control.snapshot.jobs.jobs[submission.id]
    val newRecord = recordOf(submission, clock())
    val limit = submission.route.batch?.maxWaitingTokens?.takeUnless { lacksStore() }
    return when {
        known != null -> acceptIfSameTeam(known, submission)
        limit != null && control.snapshot.jobs.lastUpdateAt == null ->
            Refusal.StoreUnavailable(STORE_RETRY_AFTER).left()
        !reserve(newRecord, limit) -> refuseUnlessStored(submission)
        else -> try {
            persist(newRecord)
        } finally {
            // Also if the caller leaves: a reservation that stays would count against the team's limit for good.
            withContext(NonCancellable) { releaseReservation(newRecord.id) }
        }
    }
}

/** Refuses [submission] for the team's limit, unless it repeats a job that is not in the directory any more. */
private suspend fun JobServices.refuseUnlessStored(submission: Submission): Either<Refusal, Unit> =
    when (val read = store.read(submission.id)) {
        is CallResult.Done -> read.value?.let { acceptIfSameTeam(it, submission) }
            ?: Refusal.RateLimited(submission.team.id, TOKENS_RETRY_AFTER).left()
        is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown ->
            Refusal.StoreUnavailable(STORE_RETRY_AFTER).left()
    }

private fun JobServices.recordOf(submission: Submission, now: Moment): JobRecord = JobRecord(
    id = submission.id,
    team = submission.team.id,
    route = submission.route.name,
    submittedAtMillis = now.epochMillis,
    total = submission.items.size,
    tokens = submission.items.sumOf { it.tokens },
    results = 0,
    isEnded = false,
    owner = self,
    chunks = 0,
    writeId = newWriteId(),
    planVersion = submission.planVersion,
)

/** Reserves the job's tokens as waiting and returns true if they fit within [limit]. */
private suspend fun JobServices.reserve(record: JobRecord, limit: Long?): Boolean = control.run { state, _ ->
    val waiting = state.jobs.waitingTokens(record.team, record.route)
    val fits = limit == null || waiting + record.tokens <= limit
    Step(if (fits) state.copy(jobs = addPending(state.jobs, record)) else state, fits)
}

private suspend fun JobServices.releaseReservation(id: JobId) {
    control.run { state, _ -> updateJobs(state) { removePending(it, id) } }
}

/** Writes [record] and the items of [submission] to the store, as often as it takes within [timeout]. */
internal suspend fun JobServices.persist(
    record: JobRecord,
    submission: Submission,
    timeout: Duration = STORE_TIMEOUT,
): Either<Refusal, Unit> {
    val startedAt = clock()
    var isUncertain = false
    var result: Either<Refusal, Unit>? = null
    while (result == null) {
        val written = store.create(record, submission.items)
        result = when (written) {
            is RecordWrite.Written -> acceptWritten(written.job, submission)
            is RecordWrite.Superseded -> written.current?.let { acceptIfSameTeam(it, submission) }
            is RecordWrite.Refused ->
                Refusal.BadRequest("job ${record.id}", "the store refuses it, ${written.reason}: split it").left()
            is RecordWrite.NotDone, is RecordWrite.Unknown -> null
        }
        isUncertain = isUncertain || written is RecordWrite.Unknown
        if (result == null && clock() - startedAt > timeout) {
            result = refusalOfWrite(isUncertain).left()
        }
        if (result == null) {
            delay(RETRY_DELAY)
        }
    }
    log.note("submitted", record.id.value) {
        put("team", record.team.value)
        put("items", record.total.toLong())
        put("outcome", result.leftOrNull()?.message ?: "accepted")
        put("took_ms", (clock() - startedAt).inWholeMilliseconds)
    }
    return result
}

private suspend fun JobServices.acceptWritten(job: VersionedJob, submission: Submission): Either<Refusal, Unit> {
    cache.putItems(submission.id, submission.items)
    updateJobDirectory(job)
    return Unit.right()
}

/** A write whose reply was lost may still take effect, so it must not be reported as not done. */
internal fun refusalOfWrite(isUncertain: Boolean): Refusal =
    if (isUncertain) Refusal.Unconfirmed(STORE_RETRY_AFTER) else Refusal.StoreUnavailable(STORE_RETRY_AFTER)

private suspend fun JobServices.acceptIfSameTeam(known: VersionedJob, submission: Submission): Either<Refusal, Unit> {
    updateJobDirectory(known)
    return if (known.record.team == submission.team.id) {
        Unit.right()
    } else {
        Refusal.BadRequest("job ${known.record.id}", "the id belongs to another team's job: choose another").left()
    }
}
