package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolMember
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long an entry that lapsed while the store was away may take to come back; the platform promises two seconds. */
private val REAPPEARANCE_GRACE: Duration = 2_200.milliseconds

/** A silence of the store that is longer than this counts as an outage. */
private val OUTAGE_THRESHOLD: Duration = 2_500.milliseconds

/**
 * The upstreams as they announce themselves.
 *
 * @property lastResponseAt when the store answered last; null before the first answer.
 * @property recoveredAt when the store answered again after its latest outage; null without one.
 * @property missing the entries that were removed and when they count as gone.
 */
public data class PoolMembers(
    public val members: PersistentMap<UpstreamId, PoolMember>,
    public val lastResponseAt: Moment?,
    public val recoveredAt: Moment?,
    public val missing: PersistentMap<UpstreamId, Moment>,
)

/** Pools before the store answered. */
public val emptyPoolMembers: PoolMembers = PoolMembers(persistentMapOf(), null, null, persistentMapOf())

/** Takes the whole list: what is not in [listed] is gone, or still missing after an outage. */
public fun replaceMembers(state: PoolMembers, listed: List<PoolMember>, now: Moment): PoolMembers {
    val updated = recordStoreResponse(state, now)
    val ids = listed.map { it.upstream.id }.toSet()
    val absent = updated.members.keys.filter { it !in ids }
    val kept = absent.fold(updated) { current, id -> removeMember(current, id, now) }
    return listed.fold(kept) { current, member -> putMember(current, member) }
}

/** Takes the entry of one upstream. */
public fun putMember(state: PoolMembers, member: PoolMember): PoolMembers = state.copy(
    members = state.members.put(member.upstream.id, member),
    missing = state.missing.remove(member.upstream.id),
)

/** Takes upstreams that another host knows; those that the store doesn't list count as missing. */
public fun adoptUnconfirmed(state: PoolMembers, members: List<PoolMember>, now: Moment): PoolMembers = members
    .filter { it.upstream.id !in state.members }
    .fold(state) { all, member ->
        all.copy(
            members = all.members.put(member.upstream.id, member),
            missing = all.missing.put(member.upstream.id, now + REAPPEARANCE_GRACE),
        )
    }

/** Drops an upstream whose entry was removed, after a grace when the store has only just come back. */
public fun removeMember(state: PoolMembers, id: UpstreamId, now: Moment): PoolMembers {
    val goneAt = state.recoveredAt?.let { it + REAPPEARANCE_GRACE }
    return when {
        id !in state.members || id in state.missing -> state
        goneAt != null && now < goneAt -> state.copy(missing = state.missing.put(id, goneAt))
        else -> state.copy(members = state.members.remove(id), missing = state.missing.remove(id))
    }
}

/** Drops an upstream at once: another one answers at its address. */
public fun removeImmediately(state: PoolMembers, id: UpstreamId): PoolMembers =
    state.copy(members = state.members.remove(id), missing = state.missing.remove(id))

/** Notes that the store answered. */
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
