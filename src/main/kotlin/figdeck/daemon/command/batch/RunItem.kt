package figdeck.daemon.command.batch

import arrow.core.Either
import arrow.core.left
import figdeck.command.batch.ItemProgress
import figdeck.command.batch.ItemStep
import figdeck.command.batch.afterAttempt
import figdeck.command.batch.mayStartItem
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.prefixAffinity
import figdeck.daemon.command.Permit
import figdeck.daemon.command.candidates
import figdeck.model.ItemOutcome
import figdeck.model.ItemResponse
import figdeck.model.ItemResult
import figdeck.model.Lane
import figdeck.model.ModelPool
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.SegmentId
import figdeck.model.Team
import figdeck.model.TeamId
import figdeck.model.Work
import figdeck.query.poolFor
import figdeck.upstream.command.EngineResult
import figdeck.upstream.command.Generation
import figdeck.wire.command.decodeStoredLine
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.seconds

private val MAX_RETRY_DELAY = 1.seconds
private val SLOT_WAIT_LIMIT = 60.seconds

/** An item with its request id, its team and the pool that serves its model. */
private data class RunnableItem(
    val segment: SegmentId,
    val request: RequestId,
    val team: Team,
    val pool: ModelPool,
    val chat: Work.Chat,
)

/** The request id of the item at [index] of [segment]. It is the same on every host and for every attempt. */
internal fun itemRequestId(segment: SegmentId, index: Int): RequestId =
    RequestId("${segment.batch}.${segment.number}.$index")

/** Runs the item [stored] until it has its one result. An invalid item fails at once and doesn't affect other items. */
internal suspend fun BatchServices.runItem(segment: SegmentId, team: TeamId, index: Int, stored: String): ItemResult {
    val line = decodeStoredLine(stored)
    val request = itemRequestId(segment, index)
    val outcome = line.item.fold(
        { ItemOutcome.Failed(it) },
        { item -> resolveItem(segment, team, request, item.chat).fold({ ItemOutcome.Failed(it) }, { generate(it) }) },
    )
    return ItemResult(request, line.customId, services.clock().epochMillis, outcome)
}

private fun BatchServices.resolveItem(
    segment: SegmentId,
    teamId: TeamId,
    request: RequestId,
    chat: Work.Chat,
): Either<Refusal, RunnableItem> {
    val index = services.control.snapshot.index
    val team = index.teams[teamId] ?: return Refusal.ModelNotFound(chat.model.value).left()
    return index.poolFor(team, chat).map { RunnableItem(segment, request, team, it, chat) }
}

private suspend fun BatchServices.generate(item: RunnableItem): ItemOutcome {
    var progress = ItemProgress("", 0)
    var retryDelay = tuning.initialBackoff
    while (true) {
        val attempt = attempt(item, progress)
        when (val step = afterAttempt(progress, attempt.text, attempt.result.toAttemptResult())) {
            is ItemStep.Ended -> return step.outcome(item)
            is ItemStep.Retry -> {
                val grew = step.progress.text.length > progress.text.length
                retryDelay = if (grew) tuning.initialBackoff else minOf(nextBackoff(retryDelay), MAX_RETRY_DELAY)
                progress = step.progress
            }
        }
        delay(retryDelay)
    }
}

private fun ItemStep.Ended.outcome(item: RunnableItem): ItemOutcome =
    outcome.fold({ ItemOutcome.Failed(it) }, { ItemOutcome.Answered(ItemResponse(item.chat.model, text, it)) })

/** The text generated up to the end of an attempt, and the result of the attempt; null if it got no slot or lost it. */
private data class ItemAttempt(
    val text: String,
    val result: EngineResult?,
)

private suspend fun BatchServices.attempt(item: RunnableItem, progress: ItemProgress): ItemAttempt {
    val withNotRun = ItemAttempt(progress.text, null)
    val upstreams = services.candidates(item.pool.upstreams, emptySet())
    if (upstreams.isEmpty() || !mayStart(item)) {
        return withNotRun
    }
    val request = DispatchRequest(
        candidates = upstreams,
        team = item.team.id,
        weight = item.team.weight,
        lane = Lane.BATCH,
        cost = item.chat.maxTokens,
        affinity = prefixAffinity(item.chat),
        deadline = services.clock() + SLOT_WAIT_LIMIT,
    )
    return services.dispatcher.acquire(request).fold({ withNotRun }, { runWithPermit(it, item, progress) })
}

private fun BatchServices.mayStart(item: RunnableItem): Boolean =
    mayStartItem(services.control.snapshot.batch, item.segment, services.clock())

private suspend fun BatchServices.runWithPermit(
    permit: Permit,
    item: RunnableItem,
    progress: ItemProgress,
): ItemAttempt {
    val text = StringBuilder(progress.text)
    var tokenCount = 0
    var slotOutcome = SlotOutcome.ABANDONED
    try {
        if (!mayStart(item)) {
            return ItemAttempt(progress.text, null)
        }
        val generation = Generation(permit.upstream, item.request, item.chat, progress.text)
        val result = runUntilRevoked(permit) {
            services.upstreams.generate(generation) { delta ->
                text.append(delta)
                tokenCount++
            }
        }
        slotOutcome = result.slotOutcome()
        return ItemAttempt(text.toString(), result)
    } finally {
        withContext(NonCancellable) { services.dispatcher.release(permit, slotOutcome, tokenCount) }
    }
}
