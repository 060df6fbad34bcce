package figdeck.control

import figdeck.command.Step
import figdeck.command.batch.chooseSegments
import figdeck.command.batch.confirmJobs
import figdeck.command.batch.endSegment
import figdeck.model.BatchId
import figdeck.model.Moment
import figdeck.model.SegmentId
import figdeck.model.SegmentPointer

/** Chooses which of [waiting] this host runs next. */
internal fun startSegments(
    state: ControlState,
    waiting: List<SegmentPointer>,
    now: Moment,
): Step<ControlState, List<SegmentPointer>> {
    val weights = state.index.teams.mapValues { it.value.weight }
    val step = chooseSegments(state.batch, waiting, weights, now)
    return Step(state.copy(batch = step.state), step.result)
}

/** Notes that the segment [id] runs here no more. */
internal fun stopSegment(state: ControlState, id: SegmentId): Step<ControlState, Unit> =
    Step(state.copy(batch = endSegment(state.batch, id)), Unit)

/** Notes that a question sent at [askedAt] found the jobs [cancelled] and no others cancelled lately. */
internal fun confirmRunningJobs(
    state: ControlState,
    cancelled: Set<BatchId>,
    askedAt: Moment,
): Step<ControlState, Unit> = Step(state.copy(batch = confirmJobs(state.batch, cancelled, askedAt)), Unit)
