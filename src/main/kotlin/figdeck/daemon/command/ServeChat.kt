package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.prefixAffinity
import figdeck.daemon.query.awaitOutcome
import figdeck.model.Attempt
import figdeck.model.IdempotencyKey
import figdeck.model.Lane
import figdeck.model.ModelPool
import figdeck.model.Moment
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.Team
import figdeck.model.Upstream
import figdeck.model.Work
import figdeck.upstream.command.EngineResult
import figdeck.upstream.command.Generation
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

private const val MAX_ATTEMPTS = 4

/** The time limit for online work, counted from its acceptance. */
internal val ONLINE_DEADLINE = 120.seconds

/**
 * A chat turn that its team is authorized to run, and the pool of engines that serves it.
 *
 * @property idempotencyKey the key that identifies a resend of the turn; null if the caller sent none.
 */
public data class AuthorizedChat(
    public val team: Team,
    public val pool: ModelPool,
    public val chat: Work.Chat,
    public val idempotencyKey: IdempotencyKey?,
)

/** The complete answer of a chat turn. */
public data class ChatAnswer(
    public val id: RequestId,
    public val content: String,
    public val finishReason: String,
)

/** Starts a chat turn. If its engine is lost, another engine resumes the answer. */
public suspend fun Services.startChat(authorized: AuthorizedChat): Either<Refusal, RunningWork<ChatAnswer>> = either {
    limits.take(authorized.team).bind()
    start { id, sink -> serveChat(id, authorized, sink) }
}

private suspend fun Services.serveChat(
    id: RequestId,
    authorized: AuthorizedChat,
    sink: WorkSink,
): Either<Refusal, ChatAnswer> = either {
    val record = newRecord(id, authorized.team, authorized.chat, authorized.idempotencyKey)
    val first = accept(record, sink).bind()
    if (first == id) {
        val run = ChatRun(record, clock() + ONLINE_DEADLINE, StringBuilder(), mutableListOf())
        val result = generate(run, authorized.team, authorized.pool, authorized.chat, sink.delta)
        finish(record, run.attempts, result) { Outcome.ChatAnswered(it.content, it.finishReason) }.bind()
    } else {
        chatAnswerOf(first, awaitOutcome(records, first).bind()).bind().also { sink.delta(it.content) }
    }
}

/** Runs the chat turn of [record] again, so that its result can be read later. */
internal suspend fun Services.rerunChat(
    record: RequestRecord,
    team: Team,
    pool: ModelPool,
    chat: Work.Chat,
): RerunResult {
    val run = ChatRun(record, clock() + ONLINE_DEADLINE, StringBuilder(), record.attempts.toMutableList())
    val result = generate(run, team, pool, chat) {}
    return RerunResult(run.attempts, result.map { Outcome.ChatAnswered(it.content, it.finishReason) })
}

private class ChatRun(
    val record: RequestRecord,
    val deadline: Moment,
    val generated: StringBuilder,
    val attempts: MutableList<Attempt>,
)

private suspend fun Services.generate(
    run: ChatRun,
    team: Team,
    pool: ModelPool,
    chat: Work.Chat,
    onDelta: suspend (String) -> Unit,
): Either<Refusal, ChatAnswer> {
    var failures = FailedAttempts()
    var ended: Either<Refusal, ChatAnswer>? = null
    while (ended == null) {
        val permit = nextPermit(run, failures) {
            dispatchRequest(run, team, candidates(pool.upstreams, failures.failed), chat)
                .copy(attempt = failures.failed.size)
        }
        when (permit) {
            is Either.Left -> ended = failures.reportableRefusal(permit.value).left()
            is Either.Right -> {
                val upstream = permit.value.upstream.id
                val result = attempt(run, permit.value, chat, onDelta)
                ended = run.ended(result)
                failures =
                    if (result is EngineResult.Lost) failures.withLost(upstream) else failures.withNotRun(upstream)
            }
        }
    }
    return ended
}

private suspend fun Services.nextPermit(
    run: ChatRun,
    failures: FailedAttempts,
    request: () -> DispatchRequest,
): Either<Refusal, Permit> = either {
    val wanted = request()
    val exhausted = failures.failed.size >= MAX_ATTEMPTS || failures.failed.isNotEmpty() && clock() >= run.deadline
    ensure(wanted.candidates.isNotEmpty() && !exhausted) { Refusal.NoUpstream("the model") }
    dispatcher.acquire(wanted).bind()
}

/** Returns the answer or the refusal that ends the request, or null if another engine may still answer. */
private fun ChatRun.ended(result: EngineResult): Either<Refusal, ChatAnswer>? = when (result) {
    is EngineResult.Finished -> ChatAnswer(record.id, generated.toString(), result.finishReason).right()
    is EngineResult.Refused -> Refusal.BadRequest("messages", "the engine refuses the item with ${result.status}")
        .takeIf { result.isInvalidItem }?.left()
    is EngineResult.NotSent, is EngineResult.Lost -> null
}

private fun Services.dispatchRequest(
    run: ChatRun,
    team: Team,
    candidates: List<Upstream>,
    chat: Work.Chat,
) = DispatchRequest(
    candidates = candidates,
    team = team.id,
    weight = team.weight,
    lane = Lane.ONLINE,
    cost = chat.maxTokens,
    affinity = prefixAffinity(chat),
    deadline = run.deadline,
)

private suspend fun Services.attempt(
    run: ChatRun,
    permit: Permit,
    chat: Work.Chat,
    onDelta: suspend (String) -> Unit,
): EngineResult {
    val startedAt = clock()
    val upstream = permit.upstream
    val generation = Generation(upstream, run.record.id, chat, run.generated.toString(), permit.answerWithin)
    var slotOutcome = SlotOutcome.ABANDONED
    var cost = 0
    val result = try {
        val outcome = withTimeoutOrNull(run.deadline - startedAt) {
            upstreams.generate(generation) { delta ->
                run.generated.append(delta)
                cost++
                onDelta(delta)
            }
        }
        outcome?.also { slotOutcome = it.slotOutcome() } ?: EngineResult.Lost("the deadline has passed")
    } finally {
        withContext(NonCancellable) { dispatcher.release(permit, slotOutcome, cost) }
    }
    run.attempts += Attempt(upstream.id, control.snapshot.host, startedAt.epochMillis, result.describe())
    return result
}

private fun EngineResult.slotOutcome(): SlotOutcome = when (this) {
    is EngineResult.Finished -> SlotOutcome.ANSWERED
    is EngineResult.Refused -> if (isInvalidItem) SlotOutcome.ANSWERED else SlotOutcome.FAILED
    is EngineResult.NotSent, is EngineResult.Lost -> SlotOutcome.FAILED
}

private fun EngineResult.describe(): String = when (this) {
    is EngineResult.Finished -> "finished: $finishReason"
    is EngineResult.Refused -> "refused: $status"
    is EngineResult.NotSent -> "not sent: $reason"
    is EngineResult.Lost -> "lost: $reason"
}
