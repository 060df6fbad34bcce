package figdeck.daemon.query.serving

import arrow.core.Either
import com.dynatrace.hash4j.hashing.Hashing
import figdeck.command.serving.JobDirectory
import figdeck.command.serving.PoolMembers
import figdeck.command.serving.VersionedJob
import figdeck.command.serving.putJob
import figdeck.command.serving.putMember
import figdeck.command.serving.recordStoreFailure
import figdeck.command.serving.recordStoreResponse
import figdeck.command.serving.removeJob
import figdeck.command.serving.removeMember
import figdeck.command.serving.replaceMembers
import figdeck.command.serving.replaceOpenJobs
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.adoptPlan
import figdeck.control.serving.updateColdPools
import figdeck.control.serving.updateJobs
import figdeck.control.serving.updatePools
import figdeck.log.DecisionLog
import figdeck.log.LogLine
import figdeck.log.PartLog
import figdeck.log.orWarn
import figdeck.model.Moment
import figdeck.model.Row
import figdeck.model.UpstreamId
import figdeck.model.isId
import figdeck.model.serving.JobId
import figdeck.model.serving.PoolMember
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.isOpen
import figdeck.wire.serving.decodeJobRecord

/** The key of the row that holds the plan in force. */
internal const val PLAN_KEY = "config"
private val log = PartLog("follow")

/** Returns a follower that puts each valid plan in force. */
internal fun planFollower(
    control: Control<ServingState>,
    decode: (String) -> Either<String, ServingPlan>,
    decisions: DecisionLog,
): TableFollower {
    val applyRow: suspend (Row) -> Unit = { row ->
        decode(row.value).fold(
            { fault -> log.warn { "the plan at version ${row.version} can't be read: $fault" } },
            { plan ->
                if (control.run { state, _ -> adoptPlan(state, plan) }) {
                    decisions.note("plan_in_force", plan.version.toString()) {
                        put("routes", plan.routes.size.toLong())
                        put("teams", plan.teams.size.toLong())
                    }
                }
            },
        )
    }
    return TableFollower(
        replace = { rows -> rows.filter { it.key == PLAN_KEY }.forEach { applyRow(it) } },
        change = { changes -> changes.mapNotNull { it.row }.filter { it.key == PLAN_KEY }.forEach { applyRow(it) } },
    )
}

/** Returns a function that reads upstream rows with [decode] and returns null for invalid rows, with a warning. */
internal fun upstreamReader(
    decode: (id: String, text: String) -> Either<String, PoolMember>,
): (Row) -> PoolMember? = { row ->
    decode(row.key, row.value).orWarn(log)?.copy(entryHash = Hashing.komihash5_0().hashCharsToLong(row.value))
}

/** Returns a follower that updates the pools from the upstreams' announcements. */
internal fun poolFollower(
    control: Control<ServingState>,
    read: (Row) -> PoolMember?,
    decisions: DecisionLog,
): TableFollower {
    return TableFollower(
        replace = { rows ->
            val listed = rows.mapNotNull { read(it) }
            control.run { state, now -> updateColdPools(state, now) { replaceMembers(it, listed, now) } }
            decisions.note("upstreams_read", listed.size.toString())
        },
        change = { changes ->
            control.run { state, now -> updatePools(state) { recordStoreResponse(it, now) } }
            changes.forEach { change ->
                val member = change.row?.let { read(it) }
                control.run { state, now ->
                    updateColdPools(state, now) { pools ->
                        if (member == null) pools.without(change.key, now) else putMember(pools, member, now)
                    }
                }
                decisions.note("upstream_changed", change.key) {
                    put("state", member?.let { if (it.isLeaving) "leaving" else "ready" } ?: "gone")
                    member?.let { logUse(it, control.snapshot.pools) }
                }
            }
        },
        fail = { control.run { state, now -> updatePools(state) { recordStoreFailure(it, now) } } },
    )
}

/** Returns a follower that updates the job directory. Closed jobs are not read at the start: there may be many. */
internal fun jobFollower(control: Control<ServingState>): TableFollower {
    val read: (Row) -> VersionedJob? = { row ->
        decodeJobRecord(row.key, row.value).orWarn(log)?.let { VersionedJob(it, row.version) }
    }
    return TableFollower(
        replace = { rows ->
            val listed = rows.mapNotNull { read(it) }
            control.run { state, now ->
                updateJobs(state) { jobs -> replaceOpenJobs(jobs, listed).copy(lastUpdateAt = now) }
            }
        },
        change = { changes ->
            control.run { state, now ->
                updateJobs(state) { jobs ->
                    changes.fold(jobs) { all, change ->
                        val job = change.row?.let { read(it) }
                        if (job == null) all.without(change.key) else putJob(all, job)
                    }.copy(lastUpdateAt = now)
                }
            }
        },
        keep = { row -> read(row)?.record?.isOpen == true },
    )
}

/** Adds the start of [member], and whether an announcement by [pools] makes it leave, whatever its entry says. */
private fun LogLine.logUse(member: PoolMember, pools: PoolMembers) {
    member.upstream.startedAtMillis?.let { put("started_at_ms", it) }
    put("has_announced", member.start in pools.leaving)
}

/** Drops the upstream of the row [key]. A key that is no identifier never named one. */
private fun PoolMembers.without(key: String, now: Moment): PoolMembers =
    if (isId(key)) removeMember(this, UpstreamId(key), now) else this

private fun JobDirectory.without(key: String): JobDirectory = if (isId(key)) removeJob(this, JobId(key)) else this
