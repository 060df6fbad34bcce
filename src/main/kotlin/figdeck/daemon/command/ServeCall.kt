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

/** A call of a plain service that may be served. [resend] is null if it came without an idempotency key. */
public data class CallOrder(
    public val access: RouteAccess,
    public val call: Work.ServiceCall,
    public val resend: IdempotencyKey?,
)

/** The answer of a plain service and the request that it answers. */
public data class CallAnswer(
    public val id: RequestId,
    public val answer: ServiceResponse,
)

/** Starts a call of a plain service. One that is not idempotent is sent again only if nothing was sent. */
public suspend fun Services.startCall(order: CallOrder): Either<Refusal, RunningWork<CallAnswer>> = either {
    order.access.team?.let { limits.take(it).bind() }
    start { id, sink -> if (order.isLookup) serveLookup(id, order, sink) else serveCall(id, order, sink) }
}

/** Whether the call changes nothing, so that its caller need not wait until it is kept. */
private val CallOrder.isLookup: Boolean get() = call.idempotent && resend == null

/** Runs a lookup at once and records it afterwards, so that it neither waits for the table nor fails with it. */
private suspend fun Services.serveLookup(
    id: RequestId,
    order: CallOrder,
    sink: WorkSink,
): Either<Refusal, CallAnswer> {
    val record = newRecord(id, order.access.team, order.call, resend = null)
    sink.accepted(id.right())
    val attempts = mutableListOf<Attempt>()
    val result = runCall(record, order.access, order.call, attempts)
    val ran = result.fold({ it.ran == MayHaveRun.UNKNOWN }, { true })
    if (ran) {
        work.launch { recordLookup(record, attempts, result) }
    }
    return result.map { CallAnswer(id, it) }
}

private suspend fun Services.recordLookup(
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
    order: CallOrder,
    sink: WorkSink,
): Either<Refusal, CallAnswer> = either {
    val record = newRecord(id, order.access.team, order.call, order.resend)
    val first = accept(record, sink).bind()
    if (first == id) {
        val attempts = mutableListOf<Attempt>()
        val result = runCall(record, order.access, order.call, attempts)
        val answer = finish(record, attempts, result) { Outcome.CallAnswered(it.status, it.contentType, it.body) }
        CallAnswer(id, answer.bind())
    } else {
        callAnswerOf(first, awaitOutcome(records, first).bind()).bind()
    }
}

/** Runs the idempotent call of [record] again for whoever reads its result. */
internal suspend fun Services.rerunCall(
    record: RequestRecord,
    access: RouteAccess,
    call: Work.ServiceCall,
): RunAgain {
    val attempts = record.attempts.toMutableList()
    val result = runCall(record, access, call, attempts)
    return RunAgain(attempts, result.map { Outcome.CallAnswered(it.status, it.contentType, it.body) })
}

private suspend fun Services.runCall(
    record: RequestRecord,
    access: RouteAccess,
    call: Work.ServiceCall,
    attempts: MutableList<Attempt>,
): Either<Refusal, ServiceResponse> = either {
    val deadline = clock() + ONLINE_DEADLINE
    var past = FailedAttempts()
    var answer: ServiceResponse? = null
    while (answer == null) {
        val candidates = candidates(access.route.upstreams, past.failed)
        val repeatable = past.lastLost == null || call.idempotent
        val exhausted = past.failed.isNotEmpty() && clock() >= deadline
        ensure(candidates.isNotEmpty() && repeatable && !exhausted) {
            past.truthful(Refusal.NoUpstream("route '${call.route}'"))
        }
        val request = dispatchRequest(access, candidates, deadline, attempts.size)
        val permit = dispatcher.acquire(request).mapLeft { past.truthful(it) }.bind()
        val upstream = permit.upstream.id
        when (val result = attemptCall(record, permit, call, attempts).bind()) {
            is CallResult.Done -> answer = result.value
            is CallResult.NotDone -> past = past.notRun(upstream)
            is CallResult.Unknown -> past = past.lost(upstream)
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
    var use = SlotOutcome.ABANDONED
    val result = try {
        if (!call.idempotent) {
            journal.intend(record, Intent(upstream.id, host, startedAt)).bind()
        }
        upstreams.call(upstream, record.id, call).also { use = it.use() }
    } finally {
        withContext(NonCancellable) { dispatcher.release(permit, use, 1) }
    }
    attempts += Attempt(upstream.id, host, startedAt, result.describe())
    result
}

private fun CallResult<ServiceResponse>.use(): SlotOutcome = when (this) {
    is CallResult.Done -> SlotOutcome.ANSWERED
    is CallResult.NotDone, is CallResult.Unknown -> SlotOutcome.FAILED
}

private fun CallResult<ServiceResponse>.describe(): String = when (this) {
    is CallResult.Done -> "answered: ${value.status}"
    is CallResult.NotDone -> "not sent: $reason"
    is CallResult.Unknown -> "lost: $reason"
}
