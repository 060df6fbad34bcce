package figdeck.control.serving

import figdeck.command.Step
import figdeck.command.dispatch.DispatchEffect
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.DispatchStep
import figdeck.command.dispatch.PlacementChange
import figdeck.command.dispatch.placementChanges
import figdeck.model.Moment

/** The effects of a decision on slots, and the changes of placement that came with it. */
internal data class SlotChanges(
    val effects: List<DispatchEffect>,
    val placementChanges: List<PlacementChange>,
)

/** Applies a decision to the slots that this host assigns, and returns the changes of placement besides the effects. */
internal fun updateSlotsWithChanges(
    state: ServingState,
    now: Moment,
    decide: (DispatchState) -> DispatchStep,
): Step<ServingState, SlotChanges> {
    val step = updateSlots(state, now, decide)
    return Step(step.state, SlotChanges(step.result, placementChanges(state.slots, step.state.slots)))
}
