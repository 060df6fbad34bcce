package figdeck.control

import figdeck.command.Step
import figdeck.command.ownership.OwnershipState

/** Applies [decision] to the ownership part of the control state. */
internal fun <R> ownershipStep(
    state: ControlState,
    decision: (OwnershipState) -> Step<OwnershipState, R>,
): Step<ControlState, R> {
    val step = decision(state.fleet.ownership)
    return Step(state.copy(fleet = state.fleet.copy(ownership = step.state)), step.result)
}

/** Applies [change], which has no result, to the ownership part of the control state. */
internal fun ownershipChange(
    state: ControlState,
    change: (OwnershipState) -> OwnershipState,
): Step<ControlState, Unit> = ownershipStep(state) { Step(change(it), Unit) }
