package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.UpstreamId

/**
 * A team that holds this many times its share of the work in progress is far beyond it. With some 3 slots a team,
 * chance alone often takes a team beyond its share, but rarely that far.
 */
private const val BEYOND_SHARE_FACTOR = 2.0

/** A request for a slot of a pool without free slots, and the upstream at which it waits or would wait. */
internal data class Contender(
    val ticket: Long,
    val request: DispatchRequest,
    val at: UpstreamId,
)

/** The expected tokens per weight of the online work that each team runs at [candidates]. */
internal fun DispatchState.heldWork(candidates: List<Upstream>): Map<TeamId?, Double> {
    val held = HashMap<TeamId?, Double>()
    candidates.forEach { candidate ->
        upstreams[candidate.id]?.running?.values?.forEach {
            if (it.request.lane == Lane.ONLINE) held.merge(it.request.team, it.request.workPerWeight, Double::plus)
        }
    }
    return held
}

/** The teams that hold equal work per weight have their shares, so the average of all is the share of each. */
internal fun Map<TeamId?, Double>.isFarBeyondShare(team: TeamId?): Boolean =
    (get(team) ?: 0.0) > BEYOND_SHARE_FACTOR * values.average()

internal val DispatchRequest.workPerWeight: Double get() = chargedTokens.toDouble() / weight

/** The next request of the team that would hold the least work with it. */
internal fun List<Contender>.firstServed(held: Map<TeamId?, Double>): Contender = minWith(
    compareBy(
        { (held[it.request.team] ?: 0.0) + it.request.workPerWeight },
        { it.request.deadline.monotonicNanos },
    ),
)

/** The newest request of the team that would hold the most work if all were served. */
internal fun List<Contender>.lastServed(held: Map<TeamId?, Double>): Contender {
    val sums = HashMap(held)
    forEach { sums.merge(it.request.team, it.request.workPerWeight, Double::plus) }
    return maxWith(compareBy({ sums[it.request.team] }, { it.request.deadline.monotonicNanos }))
}
