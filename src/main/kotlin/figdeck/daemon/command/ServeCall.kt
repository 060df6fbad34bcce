package figdeck.daemon.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.daemon.query.awaitOutcome
import figdeck.model.Attempt
import figdeck.model.CallResult
import figdeck.model.IdempotencyKey
import figdeck.model.Intent
import figdeck.model.Lane
import figdeck.model.MayHaveRun
import figdeck.model.Moment
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.Upstream
import figdeck.model.Work
import figdeck.query.RouteAccess
import figdeck.upstream.command.ServiceResponse
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * A call of a plain service that its caller is authorized to make. [idempotencyKey] is null if the caller sent none.
 */
public data class AuthorizedCall(
    public val access: RouteAccess,
    public val call: Work.ServiceCall,
    public val idempotencyKey: IdempotencyKey?,
)

/** The answer of a plain service and the id of the request that it answers. */
public data class CallAnswer(
    public val id: RequestId,
    public val answer: ServiceResponse,
)

/**
 * Starts a call of a plain service. A call that is not idempotent is retried only if the previous attempt sent nothing
 * to an upstream.
 */
public suspend fun Services.startCall(authorized: AuthorizedCall): Either<Refusal, RunningWork<CallAnswer>> = either {
    authorized.access.team?.let { limits.take(it).bind() }
    start { id, sink ->
        if (authorized.isReadOnly) serveReadOnly(id, authorized, sink) else serveCall(id, authorized, sink)
    }
}

/** Whether the call changes nothing, so that its caller does not have to wait until the call is durable. */
private val AuthorizedCall.isReadOnly: Boolean get() = call.idempotent && idempotencyKey == null

/**
 * Runs a read-only call at once and records it afterwards, so that the call neither waits for the table nor fails when
 * the table is unreachable.
 */
private suspend fun Services.serveReadOnly(
    id: RequestId,
    authorized: AuthorizedCall,
    sink: WorkSink,
): Either<Refusal, CallAnswer> {
    val record = newRecord(id, authorized.access.team, authorized.call, idempotencyKey = null)
    sink.accepted(id.right())
    val attempts = mutableListOf<Attempt>()
    val result = runCall(record, authorized.access, authorized.call, attempts)
    val mayHaveRun = result.fold({ it.ran == MayHaveRun.UNKNOWN }, { true })
    if (mayHaveRun) {
        work.launch { recordReadOnly(record, attempts, result) }
    }
    return result.map { CallAnswer(id, it) }
}

private suspend fun Services.recordReadOnly(
    record: RequestRecord,
    attempts: List<Attempt>,
    result: Either<Refusal, ServiceResponse>,
) {
    if (journal.accept(record) == Acceptance.Accepted) {
        finish(record, attempts, result) { Outcome.CallAnswered(it.status, it.contentType, it.body) }
    }
}

private suspend fun Services.serveCall(
    id: RequestId,
    authorized: AuthorizedCall,
    sink: WorkSink,
): Either<Refusal, CallAnswer> = either {
    val record = newRecord(id, authorized.access.team, authorized.call, authorized.idempotencyKey)
    val first = accept(record, sink).bind()
    if (first == id) {
        val attempts = mutableListOf<Attempt>()
        val result = runCall(record, authorized.access, authorized.call, attempts)
        val answer = finish(record, attempts, result) { Outcome.CallAnswered(it.status, it.contentType, it.body) }
        CallAnswer(id, answer.bind())
    } else {
        callAnswerOf(first, awaitOutcome(records, first).bind()).bind()
    }
}

/** Runs the idempotent call of [record] again, so that its result can be read later. */
internal suspend fun Services.rerunCall(
    record: RequestRecord,
    access: RouteAccess,
    call: Work.ServiceCall,
): RerunResult {
    val attempts = record.attempts.toMutableList()
    val result = runCall(record, access, call, attempts)
    return RerunResult(attempts, result.map { Outcome.CallAnswered(it.status, it.contentType, it.body) })
}

private suspend fun Services.runCall(
    record: RequestRecord,
    access: RouteAccess,
    call: Work.ServiceCall,
    attempts: MutableList<Attempt>,
): Either<Refusal, ServiceResponse> = either {
    val deadline = clock() + ONLINE_DEADLINE
    var failures = FailedAttempts()
    var answer: ServiceResponse? = null
    while (answer == null) {
        val candidates = candidates(access.route.upstreams, failures.failed)
        val mayRepeat = failures.lastLostUpstream == null || call.idempotent
        val exhausted = failures.failed.isNotEmpty() && clock() >= deadline
        ensure(candidates.isNotEmpty() && mayRepeat && !exhausted) {
            failures.reportableRefusal(Refusal.NoUpstream("route '${call.route}'"))
        }
        val request = dispatchRequest(access, candidates, deadline, attempts.size)
        val permit = dispatcher.acquire(request).mapLeft { failures.reportableRefusal(it) }.bind()
        val upstream = permit.upstream.id
        when (val result = attemptCall(record, permit, call, attempts).bind()) {
            is CallResult.Done -> answer = result.value
            is CallResult.NotDone, is CallResult.Refused -> failures = failures.withNotRun(upstream)
            is CallResult.Unknown -> failures = failures.withLost(upstream)
        }
    }
    answer
}

private fun dispatchRequest(
    access: RouteAccess,
    candidates: List<Upstream>,
    deadline: Moment,
    attempt: Int,
) = DispatchRequest(
    candidates = candidates,
    team = access.team?.id,
    weight = access.team?.weight ?: 1,
    lane = Lane.ONLINE,
    cost = 1,
    affinity = null,
    deadline = deadline,
    attempt = attempt,
)

private suspend fun Services.attemptCall(
    record: RequestRecord,
    permit: Permit,
    call: Work.ServiceCall,
    attempts: MutableList<Attempt>,
): Either<Refusal, CallResult<ServiceResponse>> = either {
    val startedAt = clock().epochMillis
    val upstream = permit.upstream
    val host = control.snapshot.host
    var slotOutcome = SlotOutcome.ABANDONED
    val result = try {
        if (!call.idempotent) {
            journal.recordIntent(record, Intent(upstream.id, host, startedAt)).bind()
        }
        upstreams.call(upstream, record.id, call).also { slotOutcome = it.slotOutcome() }
    } finally {
        withContext(NonCancellable) { dispatcher.release(permit, slotOutcome, 1) }
    }
    attempts += Attempt(upstream.id, host, startedAt, result.describe())
    result
}

private fun CallResult<ServiceResponse>.slotOutcome(): SlotOutcome = when (this) {
    is CallResult.Done -> SlotOutcome.ANSWERED
    is CallResult.NotDone, is CallResult.Refused, is CallResult.Unknown -> SlotOutcome.FAILED
}

private fun CallResult<ServiceResponse>.describe(): String = when (this) {
    is CallResult.Done -> "answered: ${value.status}"
    is CallResult.NotDone -> "not sent: $reason"
    is CallResult.Refused -> "not run: $reason"
    is CallResult.Unknown -> "lost: $reason"
}
