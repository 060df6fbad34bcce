package figdeck.command.dispatch

import figdeck.model.Lane
import kotlinx.collections.immutable.toPersistentList

/**
 * The tokens that a request may take in the memory of an engine: its prompt and its longest output.
 *
 * @property capacity the tokens that the engine holds for all requests together.
 */
public data class TokenDemand(
    public val tokens: Long,
    public val capacity: Long,
)

/** Whether no engine can ever run a request with this demand. */
public val TokenDemand.exceedsCapacity: Boolean get() = tokens > capacity

private val DispatchRequest.heldTokens: Long get() = demand?.tokens ?: 0

/** Whether the tokens of [request] fit beside those of all holders of slots. A revoked holder counts until it ends. */
internal fun UpstreamState.hasTokensFor(request: DispatchRequest): Boolean =
    request.demand?.fitsBeside(running.values.sumOf { it.request.heldTokens }) ?: true

/** The queue of [lane] without the requests whose tokens don't fit now; null if none fits. */
internal fun UpstreamState.fittingQueue(lane: Lane): LaneQueue? {
    val queue = queue(lane)
    val fitting = queue.waiting.filter { hasTokensFor(it.request) }
    return when (fitting.size) {
        0 -> null
        queue.waiting.size -> queue
        else -> queue.copy(waiting = fitting.toPersistentList())
    }
}

/**
 * Whether no queued online request will fit when all revoked holders have ended, and one would without the batch work
 * that holds slots.
 */
internal fun UpstreamState.needsTokensOfBatch(): Boolean {
    val kept = running.values.filter { it.revokedAt == null }
    val online = kept.filter { it.request.lane == Lane.ONLINE }
    return !anyFitsBeside(kept) && anyFitsBeside(online)
}

private fun UpstreamState.anyFitsBeside(holders: List<RunningRequest>): Boolean {
    val held = holders.sumOf { it.request.heldTokens }
    return online.waiting.any { it.request.demand?.fitsBeside(held) ?: true }
}

private fun TokenDemand.fitsBeside(held: Long): Boolean = held + tokens <= capacity
