package figdeck.control.serving

import figdeck.command.Step
import figdeck.command.work.WorkHistory
import figdeck.command.work.observeWork
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.WorkFeatures

/** Learns from [usage] of work with [features]. Returns the history of its route if its basis changed, else null. */
internal fun learnWork(
    state: ServingState,
    features: WorkFeatures,
    team: TeamId?,
    usage: SlotUsage,
    now: Moment,
): Step<ServingState, WorkHistory?> {
    val next = observeWork(state.work, features, team, usage, now)
    val before = state.work.routes[features.route]
    val after = next.routes[features.route]
    return Step(state.copy(work = next), after?.takeIf { before != null && before.basis != it.basis })
}
