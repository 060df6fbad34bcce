package figdeck.control.serving

import figdeck.command.Step
import figdeck.command.dispatch.ColdLimit
import figdeck.command.dispatch.liftCold
import figdeck.command.dispatch.limitCold
import figdeck.command.dispatch.mainColdLimit
import figdeck.command.dispatch.ownColdLimit
import figdeck.command.serving.ColdStatement
import figdeck.command.serving.PoolMembers
import figdeck.command.serving.isColdChange
import figdeck.command.serving.until
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.Fleet
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPool
import figdeck.model.serving.UpstreamStart
import figdeck.query.serving.BucketLocation
import figdeck.query.serving.bucketLocation
import figdeck.query.serving.estimatedHostCount
import figdeck.query.serving.isCutOff
import figdeck.query.serving.slotKey
import kotlin.time.Duration

/** Whether this host may use the main part of the rate at the limited upstreams of [pool]. */
internal fun Fleet.hasMainShare(pool: PoolName, now: Moment): Boolean =
    // Several hosts may take a bucket for their own while they are cut off from the store. The lease excludes that.
    bucketLocation(slotKey(pool), now) == BucketLocation.Local && !isCutOff(now)

/** The upstreams that are cold at [now]. */
internal fun coldUpstreams(state: ServingState, now: Moment): List<ColdUpstream> =
    coldUpstreams(state, state.index?.plan?.pools.orEmpty(), state.pools.cold, now)

/** The limits of the upstreams of [pool] that are cold at [now]. */
internal fun coldLimits(state: ServingState, pool: PoolName, now: Moment): Map<UpstreamId, ColdLimit> {
    val pools = state.index?.plan?.pools.orEmpty().filter { it.name == pool }
    return coldUpstreams(state, pools, state.pools.cold, now).associate { it.id to it.limit }
}

/**
 * Whether an answer by which [start] stays cold for [remaining] changes a limit. It doesn't if the pool has no cold
 * starts. Before the plan is read that is not known.
 */
internal fun ServingState.isColdChange(start: UpstreamStart, remaining: Duration, now: Moment): Boolean {
    val pool = pools.members[start.id]?.pool
    val hasColdStarts = index?.plan?.pools?.any { it.name == pool && it.coldStart != null } ?: true
    return hasColdStarts && pools.isColdChange(start, remaining, now)
}

/**
 * Updates the state of the pools by something that may tell which upstreams are cold. The limits of those whose
 * statement has changed are in force at once, and those of upstreams that are not cold are lifted, also for requests
 * that are queued already. An upstream that is removed keeps its limit, since requests may still be queued there.
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
        val changed = next.pools.cold.filter { (id, statement) -> statement != state.pools.cold[id] }
        val limits = coldUpstreams(next, next.index?.plan?.pools.orEmpty(), changed, now)
        val warm = state.pools.cold.keys.filter { it !in next.pools.cold && it in next.pools.members }
        val slots = limitCold(liftCold(next.slots, warm), limits.associate { it.id to it.limit }, now)
        Step(next.copy(slots = slots), Unit)
    }
}

/** Those of the upstreams of [pools] with one of [statements] that are cold at [now]. */
private fun coldUpstreams(
    state: ServingState,
    pools: List<ServingPool>,
    statements: Map<UpstreamId, ColdStatement>,
    now: Moment,
): List<ColdUpstream> {
    val fleet = state.fleet
    val hosts by lazy(LazyThreadSafetyMode.NONE) { fleet.estimatedHostCount() }
    return pools.flatMap { pool ->
        val policy = pool.coldStart ?: return@flatMap emptyList()
        val cold = statements.filter { (id, statement) ->
            now < statement.until(policy) && state.pools.members[id]?.pool == pool.name
        }
        val isMain = cold.isNotEmpty() && fleet.hasMainShare(pool.name, now)
        cold.map { (id, statement) ->
            val until = statement.until(policy)
            val limit = if (isMain) {
                mainColdLimit(policy, until)
            } else {
                ownColdLimit(policy, until, hosts, fleet.self.host, id)
            }
            ColdUpstream(id, pool.name, policy, limit, statement)
        }
    }
}
