package figdeck.daemon.command.serving

import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.PlacementContext
import figdeck.command.dispatch.TokenDemand
import figdeck.control.serving.ServingState
import figdeck.control.serving.coldLimits
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.Upstream
import figdeck.model.serving.SlotRequest
import figdeck.query.serving.noTeamWeights
import kotlin.time.Duration.Companion.seconds

/** Batch work uses the slots that online work leaves free, so its deadline is long enough never to refuse it. */
private val BATCH_DEADLINE = 600.seconds

/** The tokens that [request] may take at an engine of its pool; null if the pool has no limit. */
internal fun ServingState.demandOf(request: SlotRequest): TokenDemand? =
    index?.plan?.pools?.find { it.name == request.pool }?.tokenCapacity?.let { capacity ->
        val tokens = request.features?.let { it.promptTokens.toLong() + it.maxOutputTokens } ?: request.cost.toLong()
        TokenDemand(tokens, capacity)
    }

/** The weight of [team] in the slots that online work shares. */
private fun ServingState.weightOf(team: TeamId?): Int = (index?.weights ?: noTeamWeights).of(team)

/**
 * The request for a slot at one of [candidates] that the dispatcher decides on.
 *
 * @param sharesByRate whether teams share scarce slots in proportion to their rates, and not equally.
 */
internal fun SlotRequest.toDispatchRequest(
    candidates: List<Upstream>,
    state: ServingState,
    placement: PlacementContext?,
    sharesByRate: Boolean,
    now: Moment,
): DispatchRequest = DispatchRequest(
    candidates = candidates,
    team = team,
    weight = if (sharesByRate && lane == Lane.ONLINE) state.weightOf(team) else 1,
    lane = lane,
    cost = cost,
    affinity = affinity,
    deadline = now + if (lane == Lane.BATCH) BATCH_DEADLINE - age else maxWait,
    willMissDeadline = willMissDeadline,
    slotTimeUsed = slotTimeUsed,
    demand = state.demandOf(this),
    coldLimits = coldLimits(state, pool, now),
    placement = placement,
)
