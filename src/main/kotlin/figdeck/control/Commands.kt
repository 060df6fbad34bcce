package figdeck.control

import arrow.core.Either
import figdeck.command.Step
import figdeck.command.dispatch.release
import figdeck.command.dispatch.reserve
import figdeck.model.Configuration
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.query.indexOf

/** Notes that a question sent at [asked] found [read] in force; an older revision never replaces a newer one. */
internal fun confirmConfiguration(state: ControlState, read: Configuration?, asked: Moment): Step<ControlState, Unit> {
    val newer = read != null && read.revision > state.configuration.revision
    val current = read == null || read.revision >= state.configuration.revision
    val followed = if (newer) state.copy(configuration = read, index = indexOf(read)) else state
    return Step(if (current) followed.copy(confirmedAt = asked) else followed, Unit)
}

/** Reserves a slot at one of [candidates]. */
internal fun reserveSlot(
    state: ControlState,
    candidates: List<Upstream>,
): Step<ControlState, Either<Refusal, Upstream>> {
    val step = reserve(state.dispatch, candidates)
    return Step(state.copy(dispatch = step.state), step.result)
}

/** Gives the slot at [upstream] back. */
internal fun releaseSlot(state: ControlState, upstream: UpstreamId): Step<ControlState, Unit> =
    Step(state.copy(dispatch = release(state.dispatch, upstream)), Unit)

/** Stops the taking of new work. */
internal fun beginDrain(state: ControlState): Step<ControlState, Unit> = Step(state.copy(draining = true), Unit)
