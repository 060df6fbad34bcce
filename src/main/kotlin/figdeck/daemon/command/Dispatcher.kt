package figdeck.daemon.command

import arrow.core.Either
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.model.Refusal
import figdeck.model.Upstream
import kotlinx.coroutines.Deferred

/**
 * A slot at an upstream, held until it is released.
 *
 * @property revoked completes when the holder must give the slot back at once, which happens to batch work alone.
 */
public data class Permit(
    public val id: Long,
    public val upstream: Upstream,
    public val revoked: Deferred<Unit>,
)

/**
 * The choice of upstreams and the queues before them.
 *
 * @property acquire waits for a slot at one of the candidates.
 * @property release gives it back, with the tokens that it really cost.
 */
public data class Dispatcher(
    public val acquire: suspend (DispatchRequest) -> Either<Refusal, Permit>,
    public val release: suspend (Permit, SlotOutcome, cost: Int) -> Unit,
)
