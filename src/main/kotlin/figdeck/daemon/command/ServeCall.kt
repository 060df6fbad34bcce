package figdeck.daemon.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.model.Attempt
import figdeck.model.CallResult
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestRecord
import figdeck.model.Upstream
import figdeck.model.Work
import figdeck.query.RouteAccess
import figdeck.upstream.command.ServiceAnswer
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext

/** Accepts and runs a call of a plain service. A call that is not idempotent is sent again only if nothing was sent. */
public suspend fun Services.serveCall(access: RouteAccess, call: Work.ServiceCall): Either<Refusal, CallAnswer> =
    either {
        access.team?.let { limits.take(it).bind() }
        val record = newRecord(access.team, call)
        journal.accept(record).bind()
        val attempts = mutableListOf<Attempt>()
        val result = runCall(record, access, call, attempts)
        val outcome = result.fold(
            { Outcome.Failed(it) },
            { Outcome.Completed(it.status, it.contentType, it.body) },
        )
        journal.finish(record.copy(attempts = attempts, endedAtMillis = clock().epochMillis, outcome = outcome))
        CallAnswer(record.id, result.bind())
    }

private suspend fun Services.runCall(
    record: RequestRecord,
    access: RouteAccess,
    call: Work.ServiceCall,
    attempts: MutableList<Attempt>,
): Either<Refusal, ServiceAnswer> = either {
    val deadline = clock() + ONLINE_DEADLINE
    var past = FailedAttempts()
    var answer: ServiceAnswer? = null
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
        when (val result = attemptCall(record, permit, call, attempts)) {
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
): CallResult<ServiceAnswer> {
    val startedAt = clock().epochMillis
    val upstream = permit.upstream
    var use = UseResult.ABANDONED
    val result = try {
        upstreams.call(upstream, record.id, call).also { use = it.use() }
    } finally {
        withContext(NonCancellable) { dispatcher.release(permit, use, 1) }
    }
    attempts += Attempt(upstream.id, record.host, startedAt, result.describe())
    return result
}

private fun CallResult<ServiceAnswer>.use(): UseResult = when (this) {
    is CallResult.Done -> UseResult.ANSWERED
    is CallResult.NotDone, is CallResult.Unknown -> UseResult.FAILED
}

private fun CallResult<ServiceAnswer>.describe(): String = when (this) {
    is CallResult.Done -> "answered: ${value.status}"
    is CallResult.NotDone -> "not sent: $reason"
    is CallResult.Unknown -> "lost: $reason"
}
