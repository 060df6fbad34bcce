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
private val RETURN_GRACE: Duration = 2_200.milliseconds

/** A silence of the store that is longer than this counts as an outage. */
private val OUTAGE: Duration = 2_500.milliseconds

/**
 * The upstreams as they announce themselves.
 *
 * @property heardAt when the store answered last; null before the first answer.
 * @property returnedAt when the store answered again after its latest outage; null without one.
 * @property missing the entries that were removed and when they count as gone.
 */
public data class PoolMembers(
    public val members: PersistentMap<UpstreamId, PoolMember>,
    public val heardAt: Moment?,
    public val returnedAt: Moment?,
    public val missing: PersistentMap<UpstreamId, Moment>,
)

/** Pools before the store answered. */
public val unknownPools: PoolMembers = PoolMembers(persistentMapOf(), null, null, persistentMapOf())

/** Takes the whole list: what is not in [listed] is gone, or still missing after an outage. */
public fun replaceMembers(state: PoolMembers, listed: List<PoolMember>, now: Moment): PoolMembers {
    val heard = hear(state, now)
    val ids = listed.map { it.upstream.id }.toSet()
    val absent = heard.members.keys.filter { it !in ids }
    val kept = absent.fold(heard) { current, id -> removeMember(current, id, now) }
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
            missing = all.missing.put(member.upstream.id, now + RETURN_GRACE),
        )
    }

/** Drops an upstream whose entry was removed, after a grace when the store has only just come back. */
public fun removeMember(state: PoolMembers, id: UpstreamId, now: Moment): PoolMembers {
    val goneAt = state.returnedAt?.let { it + RETURN_GRACE }
    return when {
        id !in state.members || id in state.missing -> state
        goneAt != null && now < goneAt -> state.copy(missing = state.missing.put(id, goneAt))
        else -> state.copy(members = state.members.remove(id), missing = state.missing.remove(id))
    }
}

/** Drops an upstream at once: another one answers at its address. */
public fun dropMember(state: PoolMembers, id: UpstreamId): PoolMembers =
    state.copy(members = state.members.remove(id), missing = state.missing.remove(id))

/** Notes that the store answered. */
public fun hear(state: PoolMembers, now: Moment): PoolMembers {
    val wasAway = state.heardAt != null && now - state.heardAt > OUTAGE
    return dropMissing(state, now).copy(heardAt = now, returnedAt = if (wasAway) now else state.returnedAt)
}

private fun dropMissing(state: PoolMembers, now: Moment): PoolMembers {
    val gone = state.missing.filterValues { it < now }.keys
    return state.copy(
        members = state.members.filterKeys { it !in gone }.toPersistentMap(),
        missing = state.missing.filterKeys { it !in gone }.toPersistentMap(),
    )
}
