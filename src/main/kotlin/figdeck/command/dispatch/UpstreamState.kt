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

/** A request that waits for a slot. */
public data class QueuedRequest(
    public val ticket: Long,
    public val request: DispatchRequest,
    public val since: Moment,
)

/**
 * A request that holds a slot. A revoked holder no longer counts, since its slot is reassigned while it stops.
 *
 * @property revokedAt when the slot was revoked, or null.
 */
public data class RunningRequest(
    public val ticket: Long,
    public val request: DispatchRequest,
    public val since: Moment,
    public val revokedAt: Moment?,
)

/**
 * The queue of one lane at one upstream, with the fair-share state of its teams.
 *
 * @property averageHold the moving average of how long work of this lane holds a slot.
 */
public data class LaneQueue(
    public val waiting: PersistentList<QueuedRequest>,
    public val shares: FairShares,
    public val averageHold: Duration,
)

/**
 * The slots, queues and health of an upstream as its owner tracks them.
 *
 * @property startSeenAt when this host learned that the upstream had started again; null if it has not.
 * @property lastReturnAt the latest time at which a refused caller was told to return; null before the first refusal.
 * @property cold the limit while the upstream is cold; null if it isn't, or if the limit has ended.
 * @property rate the tokens while the upstream advertises a limit; null if it doesn't.
 * @property pace how fast the upstream has been. It is observed only for requests with a [DispatchRequest.placement].
 */
public data class UpstreamState(
    public val upstream: Upstream,
    public val running: PersistentMap<Long, RunningRequest>,
    public val online: LaneQueue,
    public val batch: LaneQueue,
    public val headroom: Headroom,
    public val health: Health,
    public val startSeenAt: Moment? = null,
    public val lastReturnAt: Moment? = null,
    public val cold: ColdBucket? = null,
    public val rate: RateBucket? = null,
    public val pace: UpstreamPace = unknownPace,
)

/** The initial state of an [upstream]. */
public fun idleUpstream(upstream: Upstream, now: Moment): UpstreamState = UpstreamState(
    upstream = upstream,
    running = persistentMapOf(),
    online = emptyQueue,
    batch = emptyQueue,
    headroom = Headroom(0.0, now),
    health = healthy,
)

/**
 * This state with the address and slots of [current], which describes the same upstream at [now]. The failures and the
 * advertised limit of an earlier start say nothing about a later one.
 */
internal fun UpstreamState.updatedTo(current: Upstream, now: Moment): UpstreamState {
    val earlier = upstream.startedAtMillis
    val hasRestarted = earlier != null && current.startedAtMillis != null && earlier != current.startedAtMillis
    return if (hasRestarted) {
        copy(upstream = current, health = healthy, startSeenAt = now, rate = null)
    } else {
        copy(upstream = current)
    }
}

/** Whether [running] got its slot at the present start of the upstream, as far as this host knows. */
internal fun UpstreamState.isOfPresentStart(running: RunningRequest): Boolean =
    startSeenAt == null || running.since >= startSeenAt

/** The number of slots that [lane] holds, without revoked ones. */
public fun UpstreamState.heldSlots(lane: Lane): Int =
    running.values.count { it.request.lane == lane && it.revokedAt == null }

/** The number of held slots, without revoked ones. */
public val UpstreamState.occupiedSlots: Int get() = running.values.count { it.revokedAt == null }

/** The number of slots that may be held at [now]: all, one for a probe, or none during a pause. */
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

/** This state with the queue of [lane] replaced. */
public fun UpstreamState.withQueue(lane: Lane, queue: LaneQueue): UpstreamState = when (lane) {
    Lane.ONLINE -> copy(online = queue)
    Lane.BATCH -> copy(batch = queue)
}

/** Updates the average holding time after work of this lane held a slot for [held]. */
public fun LaneQueue.observeHold(held: Duration): LaneQueue =
    copy(averageHold = averageHold * (1 - HOLD_SMOOTHING_FACTOR) + held * HOLD_SMOOTHING_FACTOR)

/** The number of queued requests served before a new one of [team], if teams take turns. */
public fun LaneQueue.requestsAhead(team: TeamId?): Int {
    val byTeam = waiting.groupingBy { it.request.team }.eachCount()
    val own = byTeam[team] ?: 0
    return byTeam.values.sumOf { minOf(it, own + 1) }
}
