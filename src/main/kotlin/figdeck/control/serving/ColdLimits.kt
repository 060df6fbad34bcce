package figdeck.control.serving

import figdeck.command.Step
import figdeck.command.dispatch.ColdLimit
import figdeck.command.dispatch.limitCold
import figdeck.command.dispatch.mainColdLimit
import figdeck.command.dispatch.ownColdLimit
import figdeck.command.serving.PoolMembers
import figdeck.command.serving.until
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.ColdStartPolicy
import figdeck.model.serving.Fleet
import figdeck.model.serving.PoolName
import figdeck.query.serving.BucketLocation
import figdeck.query.serving.bucketLocation
import figdeck.query.serving.estimatedHostCount
import figdeck.query.serving.isCutOff
import figdeck.query.serving.slotKey

/** Whether this host may use the main part of the rate at the cold upstreams of [pool]. */
internal fun Fleet.hasMainColdShare(pool: PoolName, now: Moment): Boolean =
    // Several hosts may take a bucket for their own while they are cut off from the store. The lease excludes that.
    bucketLocation(slotKey(pool), now) == BucketLocation.Local && !isCutOff(now)

/** The upstreams that are cold at [now]. */
internal fun coldUpstreams(state: ServingState, now: Moment): List<ColdUpstream> {
    val policies = state.index?.plan?.pools.orEmpty().mapNotNull { pool -> pool.coldStart?.let { pool.name to it } }
    return policies.flatMap { (pool, policy) -> coldUpstreams(state, pool, policy, now) }
}

/** The limits of the upstreams of [pool] that are cold at [now]. */
internal fun coldLimits(state: ServingState, pool: PoolName, now: Moment): Map<UpstreamId, ColdLimit> {
    val policy = state.index?.plan?.pools?.find { it.name == pool }?.coldStart
    return if (policy == null) emptyMap() else coldUpstreams(state, pool, policy, now).associate { it.id to it.limit }
}

/**
 * Updates the state of the pools by something that may tell that upstreams are cold, and puts their limits in force at
 * once, also for requests that are queued already.
 */
internal fun updateColdPools(
    state: ServingState,
    now: Moment,
    change: (PoolMembers) -> PoolMembers,
): Step<ServingState, Unit> {
    val next = state.copy(pools = change(state.pools))
    return if (next.pools.cold === state.pools.cold) {
        Step(next, Unit)
    } else {
        val limits = coldUpstreams(next, now).associate { it.id to it.limit }
        Step(next.copy(slots = limitCold(next.slots, limits, now)), Unit)
    }
}

private fun coldUpstreams(
    state: ServingState,
    pool: PoolName,
    policy: ColdStartPolicy,
    now: Moment,
): List<ColdUpstream> {
    val cold = state.pools.cold.filter { (id, statement) ->
        now < statement.until(policy) && state.pools.members[id]?.pool == pool
    }
    val fleet = state.fleet
    val isMain = cold.isNotEmpty() && fleet.hasMainColdShare(pool, now)
    return cold.map { (id, statement) ->
        val until = statement.until(policy)
        val limit = if (isMain) {
            mainColdLimit(policy, until)
        } else {
            ownColdLimit(policy, until, fleet.estimatedHostCount(), fleet.self.host, id)
        }
        ColdUpstream(id, pool, policy, limit, statement)
    }
}
