package figdeck.command.dispatch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.Step
import figdeck.model.Refusal
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration.Companion.seconds

/** What this daemon has in flight at each upstream. */
public data class DispatchState(public val inFlight: PersistentMap<UpstreamId, Int>)

/** Takes a slot at the least filled of [candidates]. */
public fun reserve(state: DispatchState, candidates: List<Upstream>): Step<DispatchState, Either<Refusal, Upstream>> {
    val chosen = candidates
        .filter { state.load(it.id) < it.slots }
        .minByOrNull { state.load(it.id).toDouble() / it.slots }
        ?: return Step(state, Refusal.Overloaded("every upstream", 1.seconds).left())
    return Step(DispatchState(state.inFlight.put(chosen.id, state.load(chosen.id) + 1)), chosen.right())
}

/** Gives a slot of [upstream] back. */
public fun release(state: DispatchState, upstream: UpstreamId): DispatchState {
    val left = state.load(upstream) - 1
    return DispatchState(if (left > 0) state.inFlight.put(upstream, left) else state.inFlight.remove(upstream))
}

private fun DispatchState.load(upstream: UpstreamId): Int = inFlight[upstream] ?: 0
