package figdeck.daemon.query.serving

import figdeck.command.dispatch.RateLimit
import figdeck.command.dispatch.isOwnPart
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.limitedUpstreams
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.UpstreamStart
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private val CHECK_INTERVAL = 500.milliseconds

/**
 * An upstream that advertises a limit.
 *
 * @property applied this host's part of its rate.
 */
internal data class LimitView(
    val advertised: AdvertisedRate.Limited,
    val heardAt: Moment,
    val applied: RateLimit,
)

/** Logs each upstream whose advertised limit has begun, changed or ended for this host, until cancelled. */
internal suspend fun Control<ServingState>.logLimitedUpstreams(clock: Clock, decisions: DecisionLog) {
    var known = emptyMap<UpstreamId, LimitView>()
    while (true) {
        delay(CHECK_INTERVAL)
        val now = clock()
        val current = limitViews(snapshot, now)
        current.filter { (id, view) -> known[id]?.isEquivalentTo(view) != true }.forEach { (id, view) ->
            decisions.note("upstream_limited", id.value) {
                put("advertised_per_second", view.advertised.requestsPerSecond.toString())
                put("heard_ms_ago", (now - view.heardAt).inWholeMilliseconds)
                put("per_second", view.applied.requestsPerSecond.toString())
                put("share", if (view.applied.isOwnPart) "own" else "main")
            }
        }
        (known - current.keys).keys.forEach { id ->
            decisions.note("upstream_unlimited", id.value) {
                put("reason", if (id in snapshot.pools.members) "not named" else "removed")
            }
        }
        known = current
    }
}

/** The upstreams that are limited in [state]. */
internal fun limitViews(state: ServingState, now: Moment): Map<UpstreamId, LimitView> =
    state.limitedUpstreams(now).mapNotNull { (upstream, limit) ->
        val advertised = state.pools.limits[UpstreamStart(upstream.id, upstream.startedAtMillis)]
        val rate = advertised?.rate as? AdvertisedRate.Limited
        if (limit == null || rate == null) null else upstream.id to LimitView(rate, advertised.heardAt, limit)
    }.toMap()

private fun LimitView.isEquivalentTo(other: LimitView): Boolean =
    advertised == other.advertised && applied.isOwnPart == other.applied.isOwnPart
