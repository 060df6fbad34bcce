package figdeck.daemon.command

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import figdeck.daemon.query.awaitOutcome
import figdeck.model.Attempt
import figdeck.model.Lane
import figdeck.model.ModelPool
import figdeck.model.Moment
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.ResendKey
import figdeck.model.Team
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.Work
import figdeck.upstream.command.EngineResult
import figdeck.upstream.command.Generation
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.seconds

private const val MAX_ATTEMPTS = 4

/** How long online work may take from its acceptance. */
internal val ONLINE_DEADLINE = 120.seconds

/**
 * A chat turn that may be served: whose it is, what it asks and which engines serve it.
 *
 * @property resend what tells a resend of it; null if it came without an idempotency key.
 */
public data class ChatOrder(
    public val team: Team,
    public val pool: ModelPool,
    public val chat: Work.Chat,
    public val resend: ResendKey?,
)

/** The whole answer of a chat turn. */
public data class ChatAnswer(
    public val id: RequestId,
    public val content: String,
    public val finishReason: String,
)

/** Starts a chat turn; an engine lost on the way is replaced and the answer resumed. */
public suspend fun Services.startChat(order: ChatOrder): Either<Refusal, RunningWork<ChatAnswer>> = either {
    limits.take(order.team).bind()
    start { id, sink -> serveChat(id, order, sink) }
}

private suspend fun Services.serveChat(
    id: RequestId,
    order: ChatOrder,
    sink: WorkSink,
): Either<Refusal, ChatAnswer> = either {
    val record = newRecord(id, order.team, order.chat, order.resend)
    val first = accept(record, sink).bind()
    if (first == id) {
        val run = ChatRun(record, clock() + ONLINE_DEADLINE, StringBuilder(), mutableListOf())
        val result = generate(run, order.team, order.pool, order.chat, sink.delta)
        finish(record, run.attempts, result) { Outcome.ChatAnswered(it.content, it.finishReason) }.bind()
    } else {
        chatAnswerOf(first, awaitOutcome(records, first).bind()).bind().also { sink.delta(it.content) }
    }
}

/** Runs the chat turn of [record] again for whoever reads its result. */
internal suspend fun Services.rerunChat(
    record: RequestRecord,
    team: Team,
    pool: ModelPool,
    chat: Work.Chat,
): RunAgain {
    val run = ChatRun(record, clock() + ONLINE_DEADLINE, StringBuilder(), record.attempts.toMutableList())
    val result = generate(run, team, pool, chat) {}
    return RunAgain(run.attempts, result.map { Outcome.ChatAnswered(it.content, it.finishReason) })
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
): Either<Refusal, ChatAnswer> = either {
    val failed = mutableSetOf<UpstreamId>()
    repeat(MAX_ATTEMPTS) {
        val candidates = candidates(pool.upstreams, failed)
        if (candidates.isEmpty()) {
            raise(run.giveUp(pool))
        }
        val permit = dispatcher.acquire(dispatchRequest(run, team, candidates, chat)).bind()
        val result = attempt(run, permit, chat, onDelta)
        finished(run, result)?.let { return@either it }
        failed += permit.upstream.id
    }
    raise(run.giveUp(pool))
}

private fun Raise<Refusal>.finished(run: ChatRun, result: EngineResult): ChatAnswer? = when (result) {
    is EngineResult.Finished -> ChatAnswer(run.record.id, run.generated.toString(), result.finishReason)
    is EngineResult.Refused, is EngineResult.NotSent, is EngineResult.Lost -> null
}

private fun ChatRun.giveUp(pool: ModelPool): Refusal {
    val last = attempts.lastOrNull { it.result.startsWith("lost") }
    return if (last == null) Refusal.NoUpstream("model '${pool.name}'") else Refusal.UpstreamLost(last.upstream)
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
    affinity = null,
    deadline = run.deadline,
)

private suspend fun Services.attempt(
    run: ChatRun,
    permit: Permit,
    chat: Work.Chat,
    onDelta: suspend (String) -> Unit,
): EngineResult {
    val startedAt = clock().epochMillis
    val upstream = permit.upstream
    val generation = Generation(upstream, run.record.id, chat, run.generated.toString())
    var use = UseResult.ABANDONED
    var cost = 0
    val result = try {
        upstreams.generate(generation) { delta ->
            run.generated.append(delta)
            cost++
            onDelta(delta)
        }.also { use = it.use() }
    } finally {
        withContext(NonCancellable) { dispatcher.release(permit, use, cost) }
    }
    run.attempts += Attempt(upstream.id, control.snapshot.host, startedAt, result.describe())
    return result
}

private fun EngineResult.use(): UseResult = when (this) {
    is EngineResult.Finished -> UseResult.ANSWERED
    is EngineResult.Refused, is EngineResult.NotSent, is EngineResult.Lost -> UseResult.FAILED
}

private fun EngineResult.describe(): String = when (this) {
    is EngineResult.Finished -> "finished: $finishReason"
    is EngineResult.Refused -> "refused: $status"
    is EngineResult.NotSent -> "not sent: $reason"
    is EngineResult.Lost -> "lost: $reason"
}
