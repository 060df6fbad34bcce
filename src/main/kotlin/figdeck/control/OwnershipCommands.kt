package figdeck.control

import figdeck.command.Step
import figdeck.command.ownership.OwnershipState

/** A command on the whole state from a [decision] on ownership alone. */
internal fun <R> ownershipStep(
    state: ControlState,
    decision: (OwnershipState) -> Step<OwnershipState, R>,
): Step<ControlState, R> {
    val step = decision(state.fleet.ownership)
    return Step(state.copy(fleet = state.fleet.copy(ownership = step.state)), step.result)
}

/** A command on the whole state from a [change] of ownership alone. */
internal fun ownershipChange(
    state: ControlState,
    change: (OwnershipState) -> OwnershipState,
): Step<ControlState, Unit> = ownershipStep(state) { Step(change(it), Unit) }
