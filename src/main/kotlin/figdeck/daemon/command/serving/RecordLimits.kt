package figdeck.daemon.command.serving

import figdeck.command.serving.isNewLimit
import figdeck.command.serving.recordLimit
import figdeck.command.serving.recordReports
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updatePools
import figdeck.model.Moment
import figdeck.model.serving.AdvertisedLimit
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.UpstreamStart

/**
 * Records that [start] has advertised [rate] in the answer, which arrived at [now], to a request that was sent at
 * [sentAt]. The owner of its slots is told when held slots are confirmed or returned.
 */
internal suspend fun Control<ServingState>.recordAdvertisedRate(
    start: UpstreamStart,
    rate: AdvertisedRate,
    sentAt: Moment,
    now: Moment,
) {
    val limit = AdvertisedLimit(rate, if (rate is AdvertisedRate.Limited) now else sentAt)
    if (snapshot.pools.isNewLimit(start, limit)) {
        run { state, _ -> updatePools(state) { recordLimit(it, start, limit) } }
    }
}

/** Records [limits], which another host has told this one at [now]. */
internal suspend fun Control<ServingState>.recordReportedLimits(
    limits: Map<UpstreamStart, ReportedLimit>,
    now: Moment,
) {
    val changed = recordReports(snapshot.pools, limits, now) !== snapshot.pools
    if (changed) {
        run { state, _ -> updatePools(state) { recordReports(it, limits, now) } }
    }
}
