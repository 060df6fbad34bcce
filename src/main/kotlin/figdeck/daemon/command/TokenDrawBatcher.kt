package figdeck.daemon.command

import figdeck.command.limit.TokenDraw
import figdeck.command.limit.TokenGrant
import figdeck.command.ownership.HostLease
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.keepTokens
import figdeck.control.planExtras
import figdeck.model.Address
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.TeamId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** The result of drawing a token for one request. */
internal sealed interface DrawResult {
    /** A token that must be used before [expiresAt]. */
    data class Granted(val expiresAt: Moment) : DrawResult

    /** The bucket is empty; the next token is available after [wait]. */
    data class Wait(val wait: Duration) : DrawResult

    /** The host did not answer before the grant expired, or does not own the bucket. */
    data object NoOwner : DrawResult
}

/** Requests tokens from a host. Returns the grants in the order of the draws, or null if the host does not answer. */
internal typealias RequestGrants = suspend (HostLease, List<TokenDraw>) -> List<TokenGrant?>?

/**
 * Draws tokens from the owners of their buckets. Sends one call at a time to each owner; draws that arrive meanwhile
 * are batched into the next call.
 */
internal class TokenDrawBatcher(
    private val scope: CoroutineScope,
    private val control: Control<ControlState>,
    private val clock: Clock,
    private val requestGrants: RequestGrants,
) {
    private data class PendingDraw(
        val team: TeamId,
        val result: CompletableDeferred<DrawResult>,
    )

    private val queues = ConcurrentHashMap<Address, Channel<PendingDraw>>()

    /** Draws one token for [team] from [owner]. */
    suspend fun draw(owner: HostLease, team: TeamId): DrawResult {
        val pending = PendingDraw(team, CompletableDeferred())
        queueOf(owner).send(pending)
        return pending.result.await()
    }

    private fun queueOf(owner: HostLease): Channel<PendingDraw> = queues.computeIfAbsent(owner.address) {
        val queue = Channel<PendingDraw>(Channel.UNLIMITED)
        scope.launch { sendBatches(owner, queue) }
        queue
    }

    private suspend fun sendBatches(owner: HostLease, queue: Channel<PendingDraw>) {
        val unspent = mutableMapOf<TeamId, Int>()
        for (first in queue) {
            val batch = listOf(first) + generateSequence { queue.tryReceive().getOrNull() }
            unspent += exchange(owner, batch.groupBy { it.team }, unspent)
        }
    }

    /**
     * Draws tokens for all of [batch] in one call, which also returns the [unspent] tokens to the owner. Returns the
     * tokens of this call that had expired when the reply arrived, by team.
     */
    private suspend fun exchange(
        owner: HostLease,
        batch: Map<TeamId, List<PendingDraw>>,
        unspent: MutableMap<TeamId, Int>,
    ): Map<TeamId, Int> {
        val extras = control.run { state, now -> planExtras(state, batch.keys, now) }
        val draws = batch.map { (team, waiting) ->
            TokenDraw(team, waiting.size, extras[team] ?: 0, unspent.remove(team) ?: 0)
        }
        val sentAt = clock()
        val grants = requestGrants(owner, draws).orEmpty()
        return draws.mapIndexedNotNull { index, draw ->
            val grant = grants.getOrNull(index)
            val isLate = grant != null && clock() >= sentAt + grant.lifetime
            distribute(batch.getValue(draw.team), draw.team, grant.takeUnless { isLate }, sentAt)
            grant?.takeIf { isLate }?.let { draw.team to it.granted }
        }.toMap()
    }

    private suspend fun distribute(waiting: List<PendingDraw>, team: TeamId, grant: TokenGrant?, sentAt: Moment) {
        if (grant == null) {
            waiting.forEach { it.result.complete(DrawResult.NoOwner) }
            return
        }
        val expiresAt = sentAt + grant.lifetime
        waiting.take(grant.granted).forEach { it.result.complete(DrawResult.Granted(expiresAt)) }
        waiting.drop(grant.granted).forEach { it.result.complete(DrawResult.Wait(grant.wait)) }
        val surplus = grant.granted - waiting.size
        if (surplus > 0) {
            control.run { state, now -> keepTokens(state, team, surplus, expiresAt, now) }
        }
    }
}
