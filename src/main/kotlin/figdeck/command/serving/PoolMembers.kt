package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedLimit
import figdeck.model.serving.PoolMember
import figdeck.model.serving.UpstreamStart
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long an entry that expired during a store outage may take to reappear. The platform promises that it does within
 * two seconds.
 */
private val REAPPEARANCE_GRACE: Duration = 2_200.milliseconds

/**
 * The upstreams that have registered in their pools.
 *
 * @property lastResponseAt when the store last answered, or null before its first answer.
 * @property silence how long the store has not answered this host.
 * @property recoveredAt when the store first answered after its latest outage, or null without an outage.
 * @property missing the upstreams without an entry in the store, with the time at which they are dropped.
 * @property leaving the starts of upstreams that have said in an answer that they are leaving, whatever their entries
 * say, with the time at which this host learned it.
 * @property cold what this host has last learned about each upstream that may be cold.
 * @property weights the weights that upstreams had by their answers.
 * @property limits the requests that upstreams take by their answers, as far as one named a limit.
 */
public data class PoolMembers(
    public val members: PersistentMap<UpstreamId, PoolMember>,
    public val lastResponseAt: Moment?,
    public val recoveredAt: Moment?,
    public val missing: PersistentMap<UpstreamId, Moment>,
    public val leaving: PersistentMap<UpstreamStart, Moment> = persistentMapOf(),
    public val silence: StoreSilence = StoreSilence(),
    public val cold: PersistentMap<UpstreamId, ColdStatement> = persistentMapOf(),
    public val weights: PersistentMap<UpstreamStart, ObservedWeights> = persistentMapOf(),
    public val limits: PersistentMap<UpstreamStart, AdvertisedLimit> = persistentMapOf(),
)

/** The state before the first answer of the store. */
public val emptyPoolMembers: PoolMembers = PoolMembers(persistentMapOf(), null, null, persistentMapOf())

/** Applies the complete list. Upstreams not in [listed] are removed, or marked as missing after an outage. */
public fun replaceMembers(state: PoolMembers, listed: List<PoolMember>, now: Moment): PoolMembers {
    val updated = recordStoreResponse(state, now)
    val ids = listed.map { it.upstream.id }.toSet()
    val absent = updated.members.keys.filter { it !in ids }
    val kept = absent.fold(updated) { current, id -> removeMember(current, id, now) }
    return listed.fold(kept) { current, member -> putMember(current, member, now) }
}

/** Adds or updates the entry of one upstream. What is known about its cold start stays as it is. */
public fun putMember(state: PoolMembers, member: PoolMember): PoolMembers {
    val id = member.upstream.id
    val isLeaving = member.isLeaving || member.start in state.leaving
    return state.copy(
        members = state.members.put(id, member.copy(isLeaving = isLeaving)),
        missing = state.missing.remove(id),
    )
}

/**
 * Records that [start] has said in an answer that it is leaving. Its entry may be gone by then, or be that of a later
 * start, which the announcement doesn't concern.
 */
public fun announceLeaving(state: PoolMembers, start: UpstreamStart, now: Moment): PoolMembers {
    val announced = state.copy(leaving = state.leaving.put(start, now))
    val member = state.members[start.id]?.takeIf { it.start == start }
    return if (member == null) announced else putMember(announced, member)
}

/** Whether the upstream's entry is that of [start]. */
public fun PoolMembers.isListed(start: UpstreamStart): Boolean = members[start.id]?.start == start

/** The start of the upstream [id] by its entry. Without an entry, the one that announced its leaving last. */
public fun PoolMembers.latestStart(id: UpstreamId): UpstreamStart? =
    members[id]?.start ?: leaving.filterKeys { it.id == id }.maxByOrNull { it.value.monotonicNanos }?.key

/** Adds upstreams known to another host. They count as missing until the store lists them. */
public fun adoptUnconfirmed(state: PoolMembers, members: List<PoolMember>, now: Moment): PoolMembers = members
    .filter { it.upstream.id !in state.members }
    .fold(state) { all, member ->
        val known = putMember(all, member, now)
        known.copy(missing = known.missing.put(member.upstream.id, now + REAPPEARANCE_GRACE))
    }

/** Drops an upstream whose entry was removed, after a grace period if the store has recently recovered. */
public fun removeMember(state: PoolMembers, id: UpstreamId, now: Moment): PoolMembers {
    val goneAt = state.recoveredAt?.let { it + REAPPEARANCE_GRACE }
    return when {
        id !in state.members || id in state.missing -> state
        goneAt != null && now < goneAt -> state.copy(missing = state.missing.put(id, goneAt))
        else -> removeImmediately(state, id)
    }
}

/** Drops the entry of [start] without a grace period because another upstream answers at its address. */
public fun removeReplaced(state: PoolMembers, start: UpstreamStart): PoolMembers =
    if (state.isListed(start)) removeImmediately(state, start.id) else state

/** Drops an upstream without a grace period. */
public fun removeImmediately(state: PoolMembers, id: UpstreamId): PoolMembers = state.copy(
    members = state.members.remove(id),
    missing = state.missing.remove(id),
    cold = state.cold.remove(id),
)
