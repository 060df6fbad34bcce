package figdeck.control.serving

import figdeck.command.Step
import figdeck.command.dispatch.LimitedUpstream
import figdeck.command.dispatch.RateLimit
import figdeck.command.dispatch.limitRates
import figdeck.command.dispatch.mainRateLimit
import figdeck.command.dispatch.ownRateLimit
import figdeck.command.serving.applyScan
import figdeck.command.serving.isListed
import figdeck.command.serving.recordReports
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.PoolName
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.reportedAt
import figdeck.query.serving.estimatedHostCount
import figdeck.query.serving.isSuspect
import figdeck.query.serving.ranked
import figdeck.query.serving.settledOwner
import figdeck.query.serving.slotKey
import kotlin.time.Duration.Companion.milliseconds

/** Bounds what each host of a large fleet reads with the list of members. */
private const val MAX_ANNOUNCED_LIMITS = 200

/** Whether an upstream of [pool] advertises a limit. */
private fun ServingState.hasLimits(pool: PoolName): Boolean = pools.limits.any { (start, limit) ->
    limit.rate is AdvertisedRate.Limited && pools.isListed(start) && pools.members[start.id]?.pool == pool
}

/**
 * The limits that this host announces to all others, as known at [now]: those of the pools in which it has the main
 * part of the rates. Hosts that lose touch with it, or take its place, know them then.
 */
internal fun ServingState.announcedLimits(now: Moment): Map<UpstreamStart, ReportedLimit> =
    if (pools.limits.isEmpty()) {
        emptyMap()
    } else {
        val owned = pools.limits.keys.mapNotNull { pools.members[it.id]?.pool }.distinct()
            .filter { fleet.hasMainShare(it, now) }
        pools.limits.entries
            .filter { (start, _) -> pools.isListed(start) && pools.members[start.id]?.pool in owned }
            .sortedByDescending { (_, limit) -> limit.heardAt.monotonicNanos }
            .take(MAX_ANNOUNCED_LIMITS)
            .associate { (start, limit) -> start to limit.reportedAt(now) }
    }

/** Replaces the list of members with [scan], and learns the limits that they announce. */
internal fun applyMembers(state: ServingState, scan: FleetScan): Step<ServingState, Unit> {
    val limited = scan.members.filter { it.limits.isNotEmpty() && it.host != state.fleet.self.host }
    val pools = limited.fold(state.pools) { pools, member ->
        val announcedAt = scan.sentAt + (member.renewedAtMillis - scan.storeMillis).milliseconds
        recordReports(pools, member.limits, announcedAt)
    }
    return Step(state.copy(fleet = applyScan(state.fleet, scan), pools = pools), Unit)
}

/** This state with the limits that upstreams advertise in force for the slots that this host grants. */
internal fun ServingState.withRateLimits(now: Moment): ServingState =
    if (pools.limits.isEmpty()) this else copy(slots = limitRates(slots, limitedUpstreams(now), now))

/**
 * This host's limits of the upstreams that advertise one or have done so. An upstream that is removed keeps its limit,
 * since requests may still be queued there.
 */
internal fun ServingState.limitedUpstreams(now: Moment): List<LimitedUpstream> {
    val hosts = fleet.estimatedHostCount()
    val isMain = HashMap<PoolName, Boolean>()
    return pools.limits.mapNotNull { (start, limit) ->
        pools.members[start.id]?.takeIf { it.start == start }?.let { member ->
            val hasMain = isMain.getOrPut(member.pool) { fleet.hasMainShare(member.pool, now) }
            LimitedUpstream(member.upstream, limitOf(limit.rate, hasMain, hosts, start.id))
        }
    }
}

private fun ServingState.limitOf(rate: AdvertisedRate, hasMain: Boolean, hosts: Int, upstream: UpstreamId): RateLimit? =
    when (rate) {
        AdvertisedRate.Unlimited -> null
        is AdvertisedRate.Limited ->
            if (hasMain) mainRateLimit(rate) else ownRateLimit(rate, hosts, fleet.self.host, upstream)
    }

/**
 * The hosts that may grant a slot of [pool] to online work, in the order in which they are asked. While upstreams
 * advertise limits, the first is the one with the main part of their rates, which a member that has just joined lacks.
 */
internal fun ServingState.onlineOwners(pool: PoolName, now: Moment): List<FleetMember> {
    val key = slotKey(pool)
    val main = if (hasLimits(pool)) fleet.settledOwner(key, now)?.takeIf { !fleet.isSuspect(it.host, now) } else null
    return (listOfNotNull(main) + fleet.ranked(key, now)).distinctBy { it.host }
}
