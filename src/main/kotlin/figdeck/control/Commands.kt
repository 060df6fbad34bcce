package figdeck.control

import figdeck.command.Step
import figdeck.command.journal.JournalState
import figdeck.model.Configuration
import figdeck.model.Moment
import figdeck.query.indexOf

/** Notes that a question sent at [asked] found [read] in force; an older revision never replaces a newer one. */
internal fun confirmConfiguration(state: ControlState, read: Configuration?, asked: Moment): Step<ControlState, Unit> {
    val newer = read != null && read.revision > state.configuration.revision
    val current = read == null || read.revision >= state.configuration.revision
    val followed = if (newer) state.copy(configuration = read, index = indexOf(read)) else state
    return Step(if (current) followed.copy(confirmedAt = asked) else followed, Unit)
}

/** Stops the taking of new work. */
internal fun beginDrain(state: ControlState): Step<ControlState, Unit> = Step(state.copy(draining = true), Unit)

/** Changes the journal's part of the state. */
internal fun <R> changeJournal(
    state: ControlState,
    change: (JournalState) -> Step<JournalState, R>,
): Step<ControlState, R> {
    val step = change(state.journal)
    return Step(state.copy(journal = step.state), step.result)
}
