package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolMember
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * How long an entry that expired during a store outage may take to reappear. The platform promises that it does within
 * two seconds.
 */
private val REAPPEARANCE_GRACE: Duration = 2_200.milliseconds

/**
 * How long the announcement of an upstream that it is leaving counts. The upstream ends within a minute, and what has
 * its id later is another start of it.
 */
private val LEAVING_RETENTION: Duration = 2.minutes

/**
 * The announcement of an upstream that it is leaving, which came with an answer.
 *
 * @property startedAtMillis the start of the upstream to which it applies; null if that is unknown.
 */
public data class LeavingAnnouncement(
    public val startedAtMillis: Long?,
    public val announcedAt: Moment,
)

/**
 * The upstreams that have registered in their pools.
 *
 * @property lastResponseAt when the store last answered, or null before its first answer.
 * @property silence how long the store has not answered this host.
 * @property recoveredAt when the store first answered after its latest outage, or null without an outage.
 * @property missing the upstreams without an entry in the store, with the time at which they are dropped.
 * @property leaving the upstreams that have said in an answer that they are leaving, whatever their entries say.
 */
public data class PoolMembers(
    public val members: PersistentMap<UpstreamId, PoolMember>,
    public val lastResponseAt: Moment?,
    public val recoveredAt: Moment?,
    public val missing: PersistentMap<UpstreamId, Moment>,
    public val leaving: PersistentMap<UpstreamId, LeavingAnnouncement> = persistentMapOf(),
    public val silence: StoreSilence = StoreSilence(),
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
public fun putMember(state: PoolMembers, member: PoolMember): PoolMembers {
    val id = member.upstream.id
    val hasAnnounced = state.leaving[id]?.appliesTo(member) ?: false
    return state.copy(
        members = state.members.put(id, if (hasAnnounced) member.copy(isLeaving = true) else member),
        missing = state.missing.remove(id),
        leaving = if (hasAnnounced) state.leaving else state.leaving.remove(id),
    )
}

private fun LeavingAnnouncement.appliesTo(member: PoolMember): Boolean =
    startedAtMillis == null || startedAtMillis == member.startedAtMillis

/** Records that the upstream [id] has said in an answer that it is leaving, until it starts again. */
public fun announceLeaving(state: PoolMembers, id: UpstreamId, now: Moment): PoolMembers {
    val member = state.members[id]
    val announced = state.copy(leaving = state.leaving.put(id, LeavingAnnouncement(member?.startedAtMillis, now)))
    return if (member == null) announced else putMember(announced, member)
}

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
    val wasUnavailable = state.lastResponseAt != null && state.silence.until(now).isOutage
    return dropMissing(state, now).copy(
        lastResponseAt = now,
        recoveredAt = if (wasUnavailable) now else state.recoveredAt,
        leaving = state.leaving.filterValues { now - it.announcedAt < LEAVING_RETENTION }.toPersistentMap(),
        silence = StoreSilence(countedUntil = now),
    )
}

/** Records that a call to the store has failed. */
public fun recordStoreFailure(state: PoolMembers, now: Moment): PoolMembers =
    state.copy(silence = state.silence.until(now).copy(hasFailedCalls = true))

/**
 * Records that this host runs at [now], and drops the missing upstreams whose grace period has ended. Drops none while
 * the store gives no answers, since their entries may be back.
 */
public fun recordRunning(state: PoolMembers, now: Moment): PoolMembers {
    val silence = state.silence.until(now)
    val isAnswering = state.lastResponseAt != null && !silence.hasFailedCalls && !silence.isOutage
    return (if (isAnswering) dropMissing(state, now) else state).copy(silence = silence)
}

private fun dropMissing(state: PoolMembers, now: Moment): PoolMembers {
    val gone = state.missing.filterValues { it < now }.keys
    return state.copy(
        members = state.members.filterKeys { it !in gone }.toPersistentMap(),
        missing = state.missing.filterKeys { it !in gone }.toPersistentMap(),
    )
}
