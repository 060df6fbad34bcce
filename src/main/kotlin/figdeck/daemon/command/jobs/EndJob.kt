package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.serving.VersionedJob
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val STORE_TIMEOUT = 2.seconds
private val RETRY_DELAY = 60.milliseconds
private val RETRY_AFTER = 500.milliseconds

/** Ends the job [id] of [team] permanently. Ending an ended job succeeds without a write. */
internal suspend fun JobServices.endJob(id: JobId, team: TeamId): Either<Refusal, Unit> {
    val startedAt = clock()
    val writeId = newWriteId()
    var result: Either<Refusal, Unit>? = null
    while (result == null) {
        result = when (val read = store.read(id)) {
            is CallResult.Done -> tryEndOnce(read.value, id, team, writeId)
            is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown -> null
        }
        if (result == null && clock() - startedAt > STORE_TIMEOUT) {
            result = Refusal.StoreUnavailable(RETRY_AFTER).left()
        }
        if (result == null) {
            delay(RETRY_DELAY)
        }
    }
    log.note("ended", id.value) {
        put("team", team.value)
        put("outcome", result.leftOrNull()?.message ?: "done")
    }
    return result
}

/** Returns null when the attempt has to be repeated. */
private suspend fun JobServices.tryEndOnce(
    job: VersionedJob?,
    id: JobId,
    team: TeamId,
    writeId: String,
): Either<Refusal, Unit>? = when {
    job == null || job.record.team != team -> Refusal.NotFound("job $id").left()
    job.record.isEnded -> {
        updateJobDirectory(job)
        Unit.right()
    }
    else -> when (val written = store.write(job.record.copy(isEnded = true, writeId = writeId), job.version)) {
        is RecordWrite.Written -> {
            updateJobDirectory(written.job)
            Unit.right()
        }
        is RecordWrite.Refused -> Refusal.StoreUnavailable(RETRY_AFTER).left()
        is RecordWrite.Superseded, is RecordWrite.NotDone, is RecordWrite.Unknown -> null
    }
}
