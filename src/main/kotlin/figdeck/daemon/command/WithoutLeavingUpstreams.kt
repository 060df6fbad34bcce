package figdeck.daemon.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.model.Refusal
import figdeck.model.Upstream

/**
 * Returns a dispatcher that grants no slots at leaving upstreams. A slot at an upstream that began to leave while the
 * request waited is released again.
 */
internal fun Dispatcher.withoutLeavingUpstreams(control: Control<ControlState>): Dispatcher = Dispatcher(
    acquire = { request -> acquireFromRemaining(control, request) },
    release = release,
)

private suspend fun Dispatcher.acquireFromRemaining(
    control: Control<ControlState>,
    request: DispatchRequest,
): Either<Refusal, Permit> = either {
    var acquired: Permit? = null
    while (acquired == null) {
        val candidates = request.candidates.filterNot { isLeaving(control, it) }
        ensure(candidates.isNotEmpty()) { Refusal.NoUpstream("this work") }
        val permit = acquire(request.copy(candidates = candidates)).bind()
        if (isLeaving(control, permit.upstream)) {
            release(permit, SlotOutcome.ABANDONED, 0)
        } else {
            acquired = permit
        }
    }
    acquired
}

private fun isLeaving(control: Control<ControlState>, upstream: Upstream): Boolean =
    upstream.id in control.snapshot.follow.leaving
