package figdeck.control.serving

import figdeck.command.Step
import figdeck.command.dispatch.DispatchEffect
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.DispatchStep
import figdeck.command.dispatch.emptyDispatch
import figdeck.command.serving.JobDirectory
import figdeck.command.serving.PoolMembers
import figdeck.command.serving.SharedLimits
import figdeck.command.serving.emptyJobDirectory
import figdeck.command.serving.emptyPoolMembers
import figdeck.command.serving.emptySharedLimits
import figdeck.command.serving.singleMemberFleet
import figdeck.command.work.WorkEstimates
import figdeck.command.work.noWorkEstimates
import figdeck.model.DataCentre
import figdeck.model.Known
import figdeck.model.Moment
import figdeck.model.Region
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.Evacuations
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.JobRecord
import figdeck.model.serving.PlannedStop
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.noCrashRisks
import figdeck.model.serving.noEvacuations
import figdeck.query.serving.PlanIndex
import figdeck.query.serving.planIndexOf

/**
 * The control state of a front-end daemon.
 *
 * @property index the active plan, indexed for look-ups, or null before the first plan was read.
 * @property slots the state of the slots that this host assigns.
 * @property crashRisks the parts of prompts, and requests, that may crash upstreams.
 * @property stop the planned stop of this host; null while none has begun.
 * @property work what this host has learned about the work of requests, as far as it grants their slots.
 * @property evacuations the data centres whose upstreams get no new work.
 * @property regions the region of each data centre, as far as the settings name it.
 */
public data class ServingState(
    public val index: PlanIndex?,
    public val pools: PoolMembers,
    public val fleet: Fleet,
    public val slots: DispatchState,
    public val limits: SharedLimits,
    public val jobs: JobDirectory,
    public val crashRisks: CrashRisks,
    public val stop: PlannedStop?,
    public val work: WorkEstimates = noWorkEstimates,
    public val evacuations: Evacuations = noEvacuations,
    public val regions: Map<DataCentre, Region> = emptyMap(),
)

/** Whether this host has read the plan, the pools and the member list that it needs to serve requests. */
internal val ServingState.hasRequiredData: Boolean
    get() = index != null && pools.members.isNotEmpty() && fleet.scan != null

/** The route of the job [record], by a plan that is at least as new as the one under which the job was accepted. */
internal fun ServingState.routeOf(record: JobRecord): Known<ServingRoute> =
    index?.route(record.route, record.planVersion) ?: Known.NotRead

/** The initial state of the daemon [self], with the [regions] that its settings name. */
public fun initialServingState(
    self: FleetMember,
    regions: Map<DataCentre, Region> = emptyMap(),
): ServingState = ServingState(
    index = null,
    pools = emptyPoolMembers,
    fleet = singleMemberFleet(self),
    slots = emptyDispatch(self.dataCentre),
    limits = emptySharedLimits,
    jobs = emptyJobDirectory,
    crashRisks = noCrashRisks,
    stop = null,
    regions = regions,
)

/** Activates [plan] if it is newer than the active one. The result tells whether it was. */
internal fun adoptPlan(state: ServingState, plan: ServingPlan): Step<ServingState, Boolean> {
    val current = state.index?.plan?.version
    val isNewer = current == null || plan.version > current
    return Step(if (isNewer) state.copy(index = planIndexOf(plan)) else state, isNewer)
}

/** Updates the state of the pools. */
internal fun updatePools(state: ServingState, change: (PoolMembers) -> PoolMembers): Step<ServingState, Unit> =
    Step(state.copy(pools = change(state.pools)), Unit)

/** Updates the state of the fleet. */
internal fun updateFleet(state: ServingState, change: (Fleet) -> Fleet): Step<ServingState, Unit> =
    Step(state.copy(fleet = change(state.fleet)), Unit)

/** Updates the state of the batch jobs. */
internal fun updateJobs(state: ServingState, change: (JobDirectory) -> JobDirectory): Step<ServingState, Unit> =
    Step(state.copy(jobs = change(state.jobs)), Unit)

/** Updates what is known about requests that crash upstreams, and returns the suspects that this quarantines. */
internal fun updateCrashRisks(
    state: ServingState,
    change: (CrashRisks) -> CrashRisks,
): Step<ServingState, Set<CrashSuspect>> {
    val next = change(state.crashRisks)
    return Step(state.copy(crashRisks = next), next.quarantined.keys - state.crashRisks.quarantined.keys)
}

/** Updates the state of the limits and returns the result of [change]. */
internal fun <R> updateLimits(
    state: ServingState,
    change: (SharedLimits) -> Step<SharedLimits, R>,
): Step<ServingState, R> {
    val step = change(state.limits)
    return Step(state.copy(limits = step.state), step.result)
}

/** Applies a decision to the slots that this host assigns, under the limits that upstreams advertise. */
internal fun updateSlots(
    state: ServingState,
    now: Moment,
    decide: (DispatchState) -> DispatchStep,
): Step<ServingState, List<DispatchEffect>> {
    val step = decide(state.withRateLimits(now).slots)
    return Step(state.copy(slots = step.state), step.result)
}

/** Begins the planned stop [stop], unless one has begun before. Returns the one that applies. */
internal fun beginStop(state: ServingState, stop: PlannedStop): Step<ServingState, PlannedStop> {
    val current = state.stop ?: stop
    return Step(state.copy(stop = current), current)
}
