package figdeck.command.dispatch

import figdeck.model.Moment
import figdeck.model.UpstreamId

/** Applies [limits] to the upstreams that have just become cold, so that they also bind the requests queued there. */
public fun limitCold(state: DispatchState, limits: Map<UpstreamId, ColdLimit>, now: Moment): DispatchState =
    limits.entries.fold(state) { current, (id, limit) ->
        val known = current.upstreams[id]
        if (known == null) current else current.with(known.limitedBy(limit, now))
    }

/** This upstream under [limit]. What it runs until the limit ends tells nothing about its pace when it is warm. */
internal fun UpstreamState.limitedBy(limit: ColdLimit?, now: Moment): UpstreamState {
    val bucket = cold.limitedBy(limit, now)
    return copy(cold = bucket, pace = if (bucket == null) pace else pace.coldUntil(bucket.limit.until))
}

/** Lifts the limits of [upstreams], which have turned out not to be cold, also for the requests queued there. */
public fun liftCold(state: DispatchState, upstreams: Collection<UpstreamId>): DispatchState =
    upstreams.fold(state) { current, id ->
        val known = current.upstreams[id]
        if (known?.cold == null) current else current.with(known.copy(cold = null))
    }
