package figdeck.daemon.query

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.CallResult
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val INITIAL_POLL_DELAY = 50.milliseconds
private val MAX_POLL_DELAY = 1.seconds
private val OUTCOME_TIMEOUT = 30.seconds

/** Polls the record of the request [id], which runs elsewhere, until the request has ended or [limit] has passed. */
internal suspend fun awaitOutcome(
    records: RequestRecords,
    id: RequestId,
    limit: Duration = OUTCOME_TIMEOUT,
): Either<Refusal, Outcome> =
    withTimeoutOrNull(limit) { pollOutcome(records, id) }?.right() ?: Refusal.StillRunning(id).left()

private suspend fun pollOutcome(records: RequestRecords, id: RequestId): Outcome {
    var pollDelay = INITIAL_POLL_DELAY
    var outcome: Outcome? = null
    while (outcome == null) {
        val found = records.find(id) as? CallResult.Done
        outcome = found?.value?.value?.outcome
        if (outcome == null) {
            delay(pollDelay)
            pollDelay = minOf(pollDelay * 2, MAX_POLL_DELAY)
        }
    }
    return outcome
}
