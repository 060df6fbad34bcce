package figdeck.control.serving

import figdeck.command.Step
import figdeck.command.work.observeWork
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.WorkFeatures

/** Learns from [usage] of work with [features]. Returns how the basis of its route's estimates changed, if it did. */
internal fun learnWork(
    state: ServingState,
    features: WorkFeatures,
    team: TeamId?,
    usage: SlotUsage,
    now: Moment,
): Step<ServingState, BasisChange?> {
    val next = observeWork(state.work, features, team, usage, now)
    val before = state.work.routes[features.route]
    val after = next.routes[features.route]
    val hasChanged = before != null && after != null && before.basis != after.basis
    return Step(state.copy(work = next), if (hasChanged) BasisChange(before, after) else null)
}
