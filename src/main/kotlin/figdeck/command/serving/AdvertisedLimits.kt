package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.serving.AdvertisedLimit
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.receivedAt
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A limit that is named again is recorded at most this often. */
private val REFRESH_INTERVAL: Duration = 500.milliseconds

/** How long a limit is remembered that has ended, or whose upstream has no entry. */
private val LIMIT_RETENTION: Duration = 30.seconds

/** Records that [start] has advertised [limit], unless a later answer is known. */
public fun recordLimit(state: PoolMembers, start: UpstreamStart, limit: AdvertisedLimit): PoolMembers =
    if (state.isNewLimit(start, limit)) state.copy(limits = state.limits.put(start, limit)) else state

/** Whether [recordLimit] changes anything. */
public fun PoolMembers.isNewLimit(start: UpstreamStart, limit: AdvertisedLimit): Boolean {
    val known = limits[start]
    return when {
        known == null -> limit.rate is AdvertisedRate.Limited
        known.rate != limit.rate -> limit.heardAt > known.heardAt
        else -> limit.rate is AdvertisedRate.Limited && limit.heardAt - known.heardAt >= REFRESH_INTERVAL
    }
}

/** Records [limits], which other hosts have told this one, as they are known at [now]. */
public fun recordReports(state: PoolMembers, limits: Map<UpstreamStart, ReportedLimit>, now: Moment): PoolMembers =
    limits.entries.fold(state) { all, (start, limit) -> recordLimit(all, start, limit.receivedAt(now)) }

/** The limits that may still apply or have to be passed on at [now]. */
internal fun PoolMembers.withoutPastLimits(now: Moment): PoolMembers {
    val current = limits.filter { (start, limit) ->
        val applies = limit.rate is AdvertisedRate.Limited && isListed(start)
        applies || now - limit.heardAt < LIMIT_RETENTION
    }
    return if (current.size == limits.size) this else copy(limits = current.toPersistentMap())
}
