package figdeck.daemon.command

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import figdeck.model.Attempt
import figdeck.model.Lane
import figdeck.model.ModelPool
import figdeck.model.Moment
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.Team
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.Work
import figdeck.upstream.command.EngineResult
import figdeck.upstream.command.Generation
import figdeck.wire.command.CompletionHead
import figdeck.wire.command.encodeAnswer
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.seconds

private const val MAX_ATTEMPTS = 4
private const val OK = 200

/** How long online work may take from its acceptance. */
internal val ONLINE_DEADLINE = 120.seconds

/** The whole answer of a chat turn. */
public data class ChatAnswer(
    public val id: RequestId,
    public val content: String,
    public val finishReason: String,
)

/**
 * Where a chat turn's progress goes.
 *
 * @property accepted is called once the turn is durable, before anything runs.
 * @property delta is called with each piece of the answer, in order and once.
 */
public data class ChatSink(
    public val accepted: suspend (RequestId) -> Unit,
    public val delta: suspend (String) -> Unit,
)

/** Accepts and runs a chat turn of [team]; an engine lost on the way is replaced and the answer resumed. */
public suspend fun Services.serveChat(
    team: Team,
    pool: ModelPool,
    chat: Work.Chat,
    sink: ChatSink,
): Either<Refusal, ChatAnswer> = either {
    limits.take(team).bind()
    val record = newRecord(team, chat)
    journal.accept(record).bind()
    sink.accepted(record.id)
    val run = ChatRun(record, clock() + ONLINE_DEADLINE, StringBuilder(), mutableListOf())
    val result = generate(run, team, pool, chat, sink)
    val outcome = result.fold(
        { Outcome.Failed(it) },
        { Outcome.Completed(OK, "application/json", encodeAnswer(run.head(chat), it.content, it.finishReason)) },
    )
    journal.finish(record.copy(attempts = run.attempts, endedAtMillis = clock().epochMillis, outcome = outcome))
    result.bind()
}

private class ChatRun(
    val record: RequestRecord,
    val deadline: Moment,
    val generated: StringBuilder,
    val attempts: MutableList<Attempt>,
) {
    fun head(chat: Work.Chat): CompletionHead = CompletionHead(record.id, chat.model, record.acceptedAtMillis)
}

private suspend fun Services.generate(
    run: ChatRun,
    team: Team,
    pool: ModelPool,
    chat: Work.Chat,
    sink: ChatSink,
): Either<Refusal, ChatAnswer> = either {
    val failed = mutableSetOf<UpstreamId>()
    repeat(MAX_ATTEMPTS) {
        val candidates = candidates(pool.upstreams, failed)
        if (candidates.isEmpty()) {
            raise(run.giveUp(pool))
        }
        val permit = dispatcher.acquire(dispatchRequest(run, team, candidates, chat)).bind()
        val result = attempt(run, permit, chat, sink)
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
    sink: ChatSink,
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
            sink.delta(delta)
        }.also { use = it.use() }
    } finally {
        withContext(NonCancellable) { dispatcher.release(permit, use, cost) }
    }
    run.attempts += Attempt(upstream.id, run.record.host, startedAt, result.describe())
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

/** The upstreams named by [ids] that are configured, not leaving and not in [failed]. */
internal fun Services.candidates(ids: List<UpstreamId>, failed: Set<UpstreamId>): List<Upstream> {
    val state = control.snapshot
    return ids.filterNot { it in failed || it in state.follow.leaving }.mapNotNull { state.index.upstreams[it] }
}

/** The record of [work] as it is accepted now. */
internal fun Services.newRecord(team: Team?, work: Work): RequestRecord = RequestRecord(
    id = newRequestId(),
    team = team?.id,
    work = work,
    host = control.snapshot.host,
    revision = control.snapshot.configuration.revision,
    acceptedAtMillis = clock().epochMillis,
    attempts = emptyList(),
    endedAtMillis = null,
    outcome = null,
)
