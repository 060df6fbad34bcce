package figdeck.control

import figdeck.command.Step
import figdeck.command.dispatch.DispatchEffect
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.DispatchStep

/** Applies the slot decision [decide] to the dispatch part of the control state. */
internal fun changeDispatch(
    state: ControlState,
    decide: (DispatchState) -> DispatchStep,
): Step<ControlState, List<DispatchEffect>> {
    val step = decide(state.dispatch)
    return Step(state.copy(dispatch = step.state), step.result)
}
