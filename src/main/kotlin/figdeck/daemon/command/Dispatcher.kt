package figdeck.daemon.command

import arrow.core.Either
import figdeck.command.dispatch.DispatchRequest
import figdeck.command.dispatch.SlotOutcome
import figdeck.model.Refusal
import figdeck.model.Upstream
import kotlinx.coroutines.Deferred
import kotlin.time.Duration

/**
 * A slot at an upstream that is held until it is released.
 *
 * @property revoked completes when the holder must release the slot at once. Only slots of batch work are revoked.
 * @property answerWithin how long to wait for the answer to begin if the holder probes the upstream, else null. Only
 *   chat turns keep to it.
 */
public data class Permit(
    public val id: Long,
    public val upstream: Upstream,
    public val revoked: Deferred<Unit>,
    public val answerWithin: Duration? = null,
)

/**
 * Chooses upstreams for requests and queues the requests that wait for a slot.
 *
 * @property acquire waits for a slot at one of the candidate upstreams.
 * @property release releases a slot and reports the actual cost in tokens.
 */
public data class Dispatcher(
    public val acquire: suspend (DispatchRequest) -> Either<Refusal, Permit>,
    public val release: suspend (Permit, SlotOutcome, cost: Int) -> Unit,
)
