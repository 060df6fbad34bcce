package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.Upstream
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val INITIAL_AVERAGE_HOLD = 500.milliseconds
private const val HOLD_SMOOTHING_FACTOR = 0.1
private val emptyQueue = LaneQueue(persistentListOf(), initialShares, INITIAL_AVERAGE_HOLD)

/** Work that waits for a slot. */
public data class QueuedRequest(
    public val ticket: Long,
    public val request: DispatchRequest,
    public val since: Moment,
)

/**
 * Work that holds a slot. A revoked holder counts no more: its slot is given on while it leaves.
 *
 * @property revokedAt when it was told to leave; null unless it was.
 */
public data class RunningRequest(
    public val ticket: Long,
    public val request: DispatchRequest,
    public val since: Moment,
    public val revokedAt: Moment?,
)

/**
 * The queue of one lane before one upstream, and the shares of the teams in it.
 *
 * @property averageHold how long work of this lane holds a slot on average.
 */
public data class LaneQueue(
    public val waiting: PersistentList<QueuedRequest>,
    public val shares: FairShares,
    public val averageHold: Duration,
)

/** What the owner of an upstream knows of it. */
public data class UpstreamState(
    public val upstream: Upstream,
    public val running: PersistentMap<Long, RunningRequest>,
    public val online: LaneQueue,
    public val batch: LaneQueue,
    public val headroom: Headroom,
    public val health: Health,
)

/** The state of an [upstream] that was not used yet. */
public fun idleUpstream(upstream: Upstream, now: Moment): UpstreamState = UpstreamState(
    upstream = upstream,
    running = persistentMapOf(),
    online = emptyQueue,
    batch = emptyQueue,
    headroom = Headroom(0.0, now),
    health = healthy,
)

/** How many slots [lane] holds. */
public fun UpstreamState.heldSlots(lane: Lane): Int =
    running.values.count { it.request.lane == lane && it.revokedAt == null }

/** How many slots are held. */
public val UpstreamState.occupiedSlots: Int get() = running.values.count { it.revokedAt == null }

/** How many slots may be held now: all, one for a probe, or none. */
public fun UpstreamState.usableSlots(now: Moment): Int = when {
    !health.isProbing -> upstream.slots
    health.admits(now) -> 1
    else -> 0
}

/** The queue of [lane]. */
public fun UpstreamState.queue(lane: Lane): LaneQueue = when (lane) {
    Lane.ONLINE -> online
    Lane.BATCH -> batch
}

/** This state with another queue of [lane]. */
public fun UpstreamState.withQueue(lane: Lane, queue: LaneQueue): UpstreamState = when (lane) {
    Lane.ONLINE -> copy(online = queue)
    Lane.BATCH -> copy(batch = queue)
}

/** This queue after work of its lane held a slot for [held]. */
public fun LaneQueue.observeHold(held: Duration): LaneQueue =
    copy(averageHold = averageHold * (1 - HOLD_SMOOTHING_FACTOR) + held * HOLD_SMOOTHING_FACTOR)

/** How many waiting requests would be served before a new one of [team]: each other team takes turns with it. */
public fun LaneQueue.requestsAhead(team: TeamId?): Int {
    val byTeam = waiting.groupingBy { it.request.team }.eachCount()
    val own = byTeam[team] ?: 0
    return byTeam.values.sumOf { minOf(it, own + 1) }
}
