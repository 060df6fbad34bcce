package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolMember
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long an entry that expired during a store outage may take to reappear. The platform promises that it does within
 * two seconds.
 */
private val REAPPEARANCE_GRACE: Duration = 2_200.milliseconds

/** The store counts as unavailable if it has not answered for longer than this. */
private val OUTAGE_THRESHOLD: Duration = 2_500.milliseconds

/**
 * The upstreams that have registered in their pools.
 *
 * @property lastResponseAt when the store last answered, or null before its first answer.
 * @property recoveredAt when the store first answered after its latest outage, or null without an outage.
 * @property missing the upstreams without an entry in the store, with the time at which they are dropped.
 */
public data class PoolMembers(
    public val members: PersistentMap<UpstreamId, PoolMember>,
    public val lastResponseAt: Moment?,
    public val recoveredAt: Moment?,
    public val missing: PersistentMap<UpstreamId, Moment>,
)

/** The state before the first answer of the store. */
public val emptyPoolMembers: PoolMembers = PoolMembers(persistentMapOf(), null, null, persistentMapOf())

/** Applies the complete list. Upstreams not in [listed] are removed, or marked as missing after an outage. */
public fun replaceMembers(state: PoolMembers, listed: List<PoolMember>, now: Moment): PoolMembers {
    val updated = recordStoreResponse(state, now)
    val ids = listed.map { it.upstream.id }.toSet()
    val absent = updated.members.keys.filter { it !in ids }
    val kept = absent.fold(updated) { current, id -> removeMember(current, id, now) }
    return listed.fold(kept) { current, member -> putMember(current, member) }
}

/** Adds or updates the entry of one upstream. */
public fun putMember(state: PoolMembers, member: PoolMember): PoolMembers = state.copy(
    members = state.members.put(member.upstream.id, member),
    missing = state.missing.remove(member.upstream.id),
)

/** Adds upstreams known to another host. They count as missing until the store lists them. */
public fun adoptUnconfirmed(state: PoolMembers, members: List<PoolMember>, now: Moment): PoolMembers = members
    .filter { it.upstream.id !in state.members }
    .fold(state) { all, member ->
        all.copy(
            members = all.members.put(member.upstream.id, member),
            missing = all.missing.put(member.upstream.id, now + REAPPEARANCE_GRACE),
        )
    }

/** Drops an upstream whose entry was removed, after a grace period if the store has recently recovered. */
public fun removeMember(state: PoolMembers, id: UpstreamId, now: Moment): PoolMembers {
    val goneAt = state.recoveredAt?.let { it + REAPPEARANCE_GRACE }
    return when {
        id !in state.members || id in state.missing -> state
        goneAt != null && now < goneAt -> state.copy(missing = state.missing.put(id, goneAt))
        else -> state.copy(members = state.members.remove(id), missing = state.missing.remove(id))
    }
}

/** Drops an upstream without a grace period because another one answers at its address. */
public fun removeImmediately(state: PoolMembers, id: UpstreamId): PoolMembers =
    state.copy(members = state.members.remove(id), missing = state.missing.remove(id))

/** Records an answer of the store and drops the missing upstreams whose grace period has ended. */
public fun recordStoreResponse(state: PoolMembers, now: Moment): PoolMembers {
    val wasUnavailable = state.lastResponseAt != null && now - state.lastResponseAt > OUTAGE_THRESHOLD
    return dropMissing(state, now).copy(
        lastResponseAt = now,
        recoveredAt = if (wasUnavailable) now else state.recoveredAt,
    )
}

private fun dropMissing(state: PoolMembers, now: Moment): PoolMembers {
    val gone = state.missing.filterValues { it < now }.keys
    return state.copy(
        members = state.members.filterKeys { it !in gone }.toPersistentMap(),
        missing = state.missing.filterKeys { it !in gone }.toPersistentMap(),
    )
}
