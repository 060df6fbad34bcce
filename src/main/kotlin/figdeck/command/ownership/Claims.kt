package figdeck.command.ownership

import figdeck.model.ABSENT
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.Shard
import kotlinx.collections.immutable.toPersistentMap

/** Replaces the known shard rows by [rows], the result of a full scan. */
public fun observeShards(state: OwnershipState, rows: List<ShardRow>): OwnershipState =
    state.copy(shards = rows.associateBy { it.shard }.toPersistentMap())

/** The shards whose preferred owner is this host and that it doesn't own. */
public fun OwnershipState.missingShards(): List<Shard> = preferences.shardsOf(self.host).filterNot { it in owned }

/**
 * Plans to claim up to [maxShards] of the missing shards. A shard is free if it has no owner, or if its owner's row is
 * absent or has another incarnation; the transaction checks that this still holds.
 */
public fun planClaims(state: OwnershipState, maxShards: Int, now: Moment): ShardPlan? {
    val owner = state.selfAsOwner()
    val free = state.missingShards().filter { state.isFree(it) }.take(maxShards)
    return if (owner == null || free.isEmpty() || !state.isLeased(now)) {
        null
    } else {
        ShardPlan(owner.incarnation, free.map { state.claimOf(it, owner) }, state.ownerChecks(free))
    }
}

/**
 * Records that the claim [plan] took effect at [version]. Shards whose rows were read at another version meanwhile are
 * left out and are claimed again.
 */
public fun confirmClaim(state: OwnershipState, plan: ShardPlan, version: Long, now: Moment): OwnershipState {
    val current = state.held?.lease?.incarnation == plan.incarnation
    val rows = plan.rows
        .filter { current && (state.shards[it.shard]?.version ?: ABSENT) == it.version }
        .associate { it.shard to it.copy(version = version) }
    val claimed = rows.mapValues { OwnedShard(it.value.epoch, version, now) }
    return state.copy(shards = state.shards.putAll(rows), owned = state.owned.putAll(claimed))
}

/** This host with its current incarnation, or null without a lease. */
internal fun OwnershipState.selfAsOwner(): ShardOwner? = held?.let { ShardOwner(self.host, it.lease.incarnation) }

private fun OwnershipState.isFree(shard: Shard): Boolean {
    val owner = shards[shard]?.owner
    val ownerRow = owner?.let { hosts[it.host] }
    return owner == null || owner.host == self.host || ownerRow?.row?.lease?.incarnation != owner.incarnation
}

private fun OwnershipState.claimOf(shard: Shard, owner: ShardOwner): ShardRow {
    val row = shards[shard]
    return ShardRow(shard, owner, row?.epoch?.next() ?: Epoch(1), row?.version ?: ABSENT)
}

private fun OwnershipState.ownerChecks(free: List<Shard>): Map<HostId, Long> = free
    .mapNotNull { shards[it]?.owner?.host }
    .filterNot { it == self.host }
    .associateWith { hosts[it]?.row?.version ?: ABSENT }
