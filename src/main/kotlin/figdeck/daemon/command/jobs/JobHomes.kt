package figdeck.daemon.command.jobs

import figdeck.command.serving.VersionedJob
import figdeck.control.serving.ServingState
import figdeck.control.serving.limitsOf
import figdeck.control.serving.routeOf
import figdeck.model.Known
import figdeck.model.Moment
import figdeck.model.Region
import figdeck.model.serving.FleetMember
import figdeck.model.serving.JobId
import figdeck.model.serving.JobRecord
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingRoute
import figdeck.query.serving.homesOf
import figdeck.query.serving.isHome
import figdeck.query.serving.ranked
import figdeck.query.serving.refusalByLimits

/**
 * The host that takes over the job [record], whose owner is lost: the first by rank in the homes of its route and team.
 * Null if there is none, or while the route is not known: its homes are not known then either.
 */
internal fun ServingState.adopterOf(record: JobRecord, now: Moment): FleetMember? =
    when (val route = routeOf(record)) {
        Known.NotRead -> null
        is Known.Absent -> firstAtHome(record, null, now)
        is Known.Present -> firstAtHome(record, route.value, now)
    }

/** The regions to which the job [record] is confined under the plan in force; null for none. */
internal fun ServingState.homesOf(record: JobRecord, route: ServingRoute?): Set<Region>? =
    homesOf(route, index?.teams?.get(record.team))

/** What holds the items of [record] back that run in [pool], if evacuations or homes leave no upstream for them. */
internal fun ServingState.holdByLimits(record: JobRecord, route: ServingRoute, pool: PoolName): ItemHold? =
    pools.members.refusalByLimits(pool, emptySet(), limitsOf(homesOf(record, route)))?.let { ItemHold.NoUpstream(pool) }

private fun ServingState.firstAtHome(record: JobRecord, route: ServingRoute?, now: Moment): FleetMember? {
    val limits = limitsOf(homesOf(record, route))
    return fleet.ranked("job/${record.id}", now) { limits.isHome(it.dataCentre) }.firstOrNull()
}

/** A job whose owner is lost, and the host that takes it over; null if there is none. */
internal data class LostJob(
    val job: VersionedJob,
    val adopter: FleetMember?,
)

/** Logs those of [lost] that no host may take over and that are not in [known] yet. Returns all of them. */
internal fun JobServices.noteStranded(state: ServingState, lost: List<LostJob>, known: Set<JobId>): Set<JobId> {
    val stranded = lost.filter { it.adopter == null }.map { it.job.record }
    stranded.filter { it.id !in known }.forEach {
        log.note("no_host_at_home", it.id.value) {
            put("from", it.owner.host.value)
            put("route", it.route)
            put("team", it.team.value)
            put("reason", state.strandedReason(it))
        }
    }
    return stranded.map { it.id }.toSet()
}

/** Why no host may take over the job [record]. */
internal fun ServingState.strandedReason(record: JobRecord): String =
    if (routeOf(record) is Known.NotRead) "route not read" else "no host at home"
