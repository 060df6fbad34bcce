package figdeck.command.ownership

import figdeck.command.Step
import figdeck.model.Shard

/**
 * Plans to release the shards that prefer another host, which is all of them while this host leaves, up to [maxShards].
 * From this moment on this host doesn't own them. Rows that name this host after a lost reply are released too.
 */
public fun planRelease(state: OwnershipState, maxShards: Int): Step<OwnershipState, ShardPlan?> {
    val here = state.selfAsOwner()
    val lost = state.shards.values.filter { here != null && it.owner == here && it.shard !in state.owned }
    val owned = state.owned.map { (shard, owned) -> ShardRow(shard, null, owned.epoch, owned.version) }
    val rows = (owned + lost.map { it.copy(owner = null) })
        .filter { state.prefersAnother(it.shard) }
        .take(maxShards)
    val plan = if (here == null || rows.isEmpty()) null else ShardPlan(here.incarnation, rows, emptyMap())
    val kept = rows.fold(state.owned) { left, row -> left.remove(row.shard) }
    return Step(state.copy(owned = kept), plan)
}

/** Notes that the release [plan] took effect at [version]. */
public fun confirmRelease(state: OwnershipState, plan: ShardPlan, version: Long): OwnershipState =
    state.copy(shards = state.shards.putAll(plan.rows.associate { it.shard to it.copy(version = version) }))

private fun OwnershipState.prefersAnother(shard: Shard): Boolean {
    val preferred = preferences.ownerOf(shard)
    return preferred != null && preferred != self.host
}

/** Begins the handing over of everything that this host owns, as long as there is another host that stays. */
public fun beginLeaving(state: OwnershipState): OwnershipState {
    val staying = (state.preferences.hosts - state.self.host).ifEmpty { state.preferences.hosts }
    return state.copy(leaving = true, preferences = preferencesOf(staying))
}

/** Gives this host's own lease up; it owns nothing from this moment on. */
public fun planLeaseRelease(state: OwnershipState): Step<OwnershipState, ExpiryPlan?> = Step(
    state.copy(leaving = true, held = null, owned = state.owned.clear()),
    state.held?.let { ExpiryPlan(state.self.host, it.version) },
)
