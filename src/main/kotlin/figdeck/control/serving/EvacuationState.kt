package figdeck.control.serving

import figdeck.command.Step
import figdeck.command.serving.evacuationChanges
import figdeck.model.Refusal
import figdeck.model.Region
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.serving.EvacuationChange
import figdeck.model.serving.Evacuations
import figdeck.model.serving.PoolMember
import figdeck.model.serving.SlotRequest
import figdeck.query.serving.UpstreamLimits
import figdeck.query.serving.forbiddenUpstreams
import figdeck.query.serving.refusalByLimits
import figdeck.query.serving.usableMember
import figdeck.query.serving.usableUpstreams

/** Updates the evacuated data centres, and returns what begins and ends with it. */
internal fun updateEvacuations(
    state: ServingState,
    change: (Evacuations) -> Evacuations,
): Step<ServingState, List<EvacuationChange>> {
    val next = change(state.evacuations)
    return Step(state.copy(evacuations = next), evacuationChanges(state.evacuations, next))
}

/** Where a request that is confined to [homes] may run; null confines it to none. */
internal fun ServingState.limitsOf(homes: Set<Region>?): UpstreamLimits =
    UpstreamLimits(evacuations.centres.keys, homes, regions)

/** The upstreams at which [request] may run. */
internal fun ServingState.usableUpstreams(request: SlotRequest): List<Upstream> =
    pools.members.usableUpstreams(request.pool, request.excluded, limitsOf(request.homes))

/** The entry of the upstream [id] if [request] may run there. */
internal fun ServingState.usableMember(request: SlotRequest, id: UpstreamId): PoolMember? =
    pools.members.usableMember(request.pool, request.excluded, id, limitsOf(request.homes))

/** The usable upstreams of the pool of [request] to which it may not be sent. */
internal fun ServingState.forbiddenUpstreams(request: SlotRequest): Set<UpstreamId> =
    pools.members.forbiddenUpstreams(request.pool, limitsOf(request.homes))

/** The refusal of [request] if evacuations or its homes leave no upstream for it. */
internal fun ServingState.refusalByLimits(request: SlotRequest): Refusal? =
    pools.members.refusalByLimits(request.pool, request.excluded, limitsOf(request.homes))
