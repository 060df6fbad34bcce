package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import figdeck.command.dispatch.prefixAffinity
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
import kotlinx.coroutines.withTimeoutOrNull
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
): Either<Refusal, ChatAnswer> {
    var past = FailedAttempts()
    var ended: Either<Refusal, ChatAnswer>? = null
    while (ended == null) {
        val permit = nextPermit(run, past) {
            dispatchRequest(run, team, candidates(pool.upstreams, past.failed), chat)
        }
        when (permit) {
            is Either.Left -> ended = past.truthful(permit.value).left()
            is Either.Right -> {
                val upstream = permit.value.upstream.id
                val result = attempt(run, permit.value, chat, sink)
                ended = run.ended(result)
                past = if (result is EngineResult.Lost) past.lost(upstream) else past.notRun(upstream)
            }
        }
    }
    return ended
}

private suspend fun Services.nextPermit(
    run: ChatRun,
    past: FailedAttempts,
    request: () -> DispatchRequest,
): Either<Refusal, Permit> = either {
    val wanted = request()
    val exhausted = run.attempts.size >= MAX_ATTEMPTS || past.failed.isNotEmpty() && clock() >= run.deadline
    ensure(wanted.candidates.isNotEmpty() && !exhausted) { Refusal.NoUpstream("the model") }
    dispatcher.acquire(wanted).bind()
}

/** The answer or the refusal that ends the request, or null if another engine may still answer. */
private fun ChatRun.ended(result: EngineResult): Either<Refusal, ChatAnswer>? = when (result) {
    is EngineResult.Finished -> ChatAnswer(record.id, generated.toString(), result.finishReason).right()
    is EngineResult.Refused -> Refusal.BadRequest("messages", "the engine refuses the item with ${result.status}")
        .takeIf { result.isItemFault }?.left()
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
    attempt = run.attempts.size,
)

private suspend fun Services.attempt(
    run: ChatRun,
    permit: Permit,
    chat: Work.Chat,
    sink: ChatSink,
): EngineResult {
    val startedAt = clock()
    val upstream = permit.upstream
    val generation = Generation(upstream, run.record.id, chat, run.generated.toString())
    var use = UseResult.ABANDONED
    var cost = 0
    val result = try {
        val outcome = withTimeoutOrNull(run.deadline - startedAt) {
            upstreams.generate(generation) { delta ->
                run.generated.append(delta)
                cost++
                sink.delta(delta)
            }
        }
        outcome?.also { use = it.use() } ?: EngineResult.Lost("the deadline has passed")
    } finally {
        withContext(NonCancellable) { dispatcher.release(permit, use, cost) }
    }
    run.attempts += Attempt(upstream.id, run.record.host, startedAt.epochMillis, result.describe())
    return result
}

private fun EngineResult.use(): UseResult = when (this) {
    is EngineResult.Finished -> UseResult.ANSWERED
    is EngineResult.Refused -> if (isItemFault) UseResult.ANSWERED else UseResult.FAILED
    is EngineResult.NotSent, is EngineResult.Lost -> UseResult.FAILED
}

private fun EngineResult.describe(): String = when (this) {
    is EngineResult.Finished -> "finished: $finishReason"
    is EngineResult.Refused -> "refused: $status"
    is EngineResult.NotSent -> "not sent: $reason"
    is EngineResult.Lost -> "lost: $reason"
}

/** The upstreams named by [ids] that are configured and not in [failed]. */
internal fun Services.candidates(ids: List<UpstreamId>, failed: Set<UpstreamId>): List<Upstream> {
    val index = control.snapshot.index
    return ids.filterNot { it in failed }.mapNotNull { index.upstreams[it] }
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
