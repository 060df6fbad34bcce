package figdeck.command.ownership

import figdeck.command.Step
import figdeck.model.Shard

/**
 * Plans to release up to [maxShards] shards whose preferred owner is another host, which are all shards while this host
 * leaves. This host stops owning them at once. Rows that name this host because the reply to a claim was lost are
 * released too.
 */
public fun planRelease(state: OwnershipState, maxShards: Int): Step<OwnershipState, ShardPlan?> {
    val self = state.selfAsOwner()
    val unconfirmed = state.shards.values.filter { self != null && it.owner == self && it.shard !in state.owned }
    val owned = state.owned.map { (shard, owned) -> ShardRow(shard, null, owned.epoch, owned.version) }
    val rows = (owned + unconfirmed.map { it.copy(owner = null) })
        .filter { state.prefersAnother(it.shard) }
        .take(maxShards)
    val plan = if (self == null || rows.isEmpty()) null else ShardPlan(self.incarnation, rows, emptyMap())
    val kept = rows.fold(state.owned) { left, row -> left.remove(row.shard) }
    return Step(state.copy(owned = kept), plan)
}

/** Records that the release [plan] took effect at [version]. */
public fun confirmRelease(state: OwnershipState, plan: ShardPlan, version: Long): OwnershipState =
    state.copy(shards = state.shards.putAll(plan.rows.associate { it.shard to it.copy(version = version) }))

private fun OwnershipState.prefersAnother(shard: Shard): Boolean {
    val preferred = preferences.ownerOf(shard)
    return preferred != null && preferred != self.host
}

/** Starts to hand over all shards of this host, provided that another host stays. */
public fun beginLeaving(state: OwnershipState): OwnershipState {
    val staying = (state.preferences.hosts - state.self.host).ifEmpty { state.preferences.hosts }
    return state.copy(leaving = true, preferences = preferencesOf(staying))
}

/** Plans to delete this host's lease; the host stops owning shards at once. */
public fun planLeaseRelease(state: OwnershipState): Step<OwnershipState, ExpiryPlan?> = Step(
    state.copy(leaving = true, held = null, owned = state.owned.clear()),
    state.held?.let { ExpiryPlan(state.self.host, it.version) },
)
