package figdeck.control

import figdeck.command.Step
import figdeck.command.batch.chooseSegments
import figdeck.command.batch.confirmJobs
import figdeck.command.batch.endSegment
import figdeck.model.BatchId
import figdeck.model.Moment
import figdeck.model.SegmentId
import figdeck.model.SegmentPointer

/** Chooses which of the [waiting] segments this host runs next. */
internal fun startSegments(
    state: ControlState,
    waiting: List<SegmentPointer>,
    now: Moment,
): Step<ControlState, List<SegmentPointer>> {
    val weights = state.index.teams.mapValues { it.value.weight }
    val step = chooseSegments(state.batch, waiting, weights, now)
    return Step(state.copy(batch = step.state), step.result)
}

/** Records that this host no longer runs the segment [id]. */
internal fun stopSegment(state: ControlState, id: SegmentId): Step<ControlState, Unit> =
    Step(state.copy(batch = endSegment(state.batch, id)), Unit)

/** Records that a query sent at [askedAt] found exactly the jobs [cancelled] to be recently cancelled. */
internal fun confirmRunningJobs(
    state: ControlState,
    cancelled: Set<BatchId>,
    askedAt: Moment,
): Step<ControlState, Unit> = Step(state.copy(batch = confirmJobs(state.batch, cancelled, askedAt)), Unit)
