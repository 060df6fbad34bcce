package figdeck.control

import figdeck.command.Step
import figdeck.command.journal.JournalState
import figdeck.model.Configuration
import figdeck.query.indexOf

/** Puts the configuration [read] in force if its revision is newer than the present one. */
internal fun replaceConfiguration(state: ControlState, read: Configuration): Step<ControlState, Unit> {
    val newer = read.revision > state.configuration.revision
    return Step(if (newer) state.copy(configuration = read, index = indexOf(read)) else state, Unit)
}

/** Stops accepting new work. */
internal fun beginDrain(state: ControlState): Step<ControlState, Unit> = Step(state.copy(draining = true), Unit)

/** Applies [change] to the journal's part of the control state. */
internal fun <R> changeJournal(
    state: ControlState,
    change: (JournalState) -> Step<JournalState, R>,
): Step<ControlState, R> {
    val step = change(state.journal)
    return Step(state.copy(journal = step.state), step.result)
}
