package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.Attempt
import figdeck.model.Epoch
import figdeck.model.IdempotencyKey
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.Team
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.Work
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val IDLE_POLL_INTERVAL = 20.milliseconds

/** The epoch of a daemon that owns no journal. The journal accepts no request under this epoch. */
private val NO_EPOCH = Epoch(0)

/** The attempts and the result of running a request again. */
internal data class RerunResult(
    val attempts: List<Attempt>,
    val result: Either<Refusal, Outcome>,
)

/**
 * Writes the acceptance of [record] to the journal and reports it to [sink]. Returns the id of [record], or the id of
 * the first request if [record] is a resend.
 */
internal suspend fun Services.accept(record: RequestRecord, sink: WorkSink): Either<Refusal, RequestId> {
    val accepted = when (val acceptance = journal.accept(record)) {
        Acceptance.Accepted -> record.id.right()
        is Acceptance.Resent -> acceptance.first.right()
        is Acceptance.Refused -> acceptance.refusal.left()
    }
    sink.accepted(accepted)
    return accepted
}

/**
 * Records the outcome of [record] in the journal and returns [result], or [Refusal.TakenOver] if another host has taken
 * the request over and now decides its outcome.
 */
internal suspend fun <T> Services.finish(
    record: RequestRecord,
    attempts: List<Attempt>,
    result: Either<Refusal, T>,
    outcomeOf: (T) -> Outcome,
): Either<Refusal, T> {
    val outcome = result.fold({ Outcome.Failed(it) }, outcomeOf)
    val ended = record.copy(attempts = attempts, endedAtMillis = clock().epochMillis, outcome = outcome)
    return when (journal.finish(ended)) {
        FinishResult.KEPT, FinishResult.QUEUED -> result
        FinishResult.TAKEN_OVER -> Refusal.TakenOver(record.id).left()
    }
}

/** Returns the upstreams of [ids] that are configured, not leaving and not in [failed]. */
internal fun Services.candidates(ids: List<UpstreamId>, failed: Set<UpstreamId>): List<Upstream> {
    val state = control.snapshot
    return ids.filterNot { it in failed || it in state.follow.leaving }.mapNotNull { state.index.upstreams[it] }
}

/** Creates the record of [work], accepted now and not yet ended. */
internal fun Services.newRecord(
    id: RequestId,
    team: Team?,
    work: Work,
    idempotencyKey: IdempotencyKey?
): RequestRecord {
    val state = control.snapshot
    return RequestRecord(
        id = id,
        team = team?.id,
        work = work,
        host = state.host,
        epoch = state.journal.writer?.fence?.epoch ?: NO_EPOCH,
        revision = state.configuration.revision,
        acceptedAtMillis = clock().epochMillis,
        idempotencyKey = idempotencyKey,
        attempts = emptyList(),
        endedAtMillis = null,
        outcome = null,
    )
}

/** Waits up to [limit] until all accepted work has ended and its outcomes are durable. */
internal suspend fun Services.awaitWork(limit: Duration) {
    withTimeoutOrNull(limit) {
        work.coroutineContext.job.children.forEach { it.join() }
        while (control.snapshot.journal.let { it.inFlight != null || it.pending.isNotEmpty() }) {
            delay(IDLE_POLL_INTERVAL)
        }
    }
}
