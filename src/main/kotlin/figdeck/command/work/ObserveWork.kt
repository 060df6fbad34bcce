package figdeck.command.work

import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.WorkFeatures

/** The state after [usage] was seen of work with [features] that ran for [team]. */
@Suppress("UNUSED_PARAMETER")
public fun observeWork(
    state: WorkEstimates,
    features: WorkFeatures,
    team: TeamId?,
    usage: SlotUsage,
    now: Moment,
): WorkEstimates = state.copy(observations = state.observations + 1)
