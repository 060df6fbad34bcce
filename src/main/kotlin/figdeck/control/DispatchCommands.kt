package figdeck.control

import figdeck.command.Step
import figdeck.command.dispatch.DispatchEffect
import figdeck.command.dispatch.DispatchState
import figdeck.command.dispatch.DispatchStep

/** Runs a decision on slots within the control state. */
internal fun changeDispatch(
    state: ControlState,
    decide: (DispatchState) -> DispatchStep,
): Step<ControlState, List<DispatchEffect>> {
    val step = decide(state.dispatch)
    return Step(state.copy(dispatch = step.state), step.result)
}
