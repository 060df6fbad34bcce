package figdeck.upstream.command

import figdeck.model.CallResult
import figdeck.model.RequestId
import figdeck.model.Upstream
import figdeck.model.Work

/**
 * What figdeck asks of upstreams.
 *
 * @property generate runs a generation and passes each piece of text on; cancelling the coroutine cancels it upstream.
 * @property call runs a call of a plain service.
 */
public data class UpstreamCommands(
    public val generate: suspend (Generation, onDelta: suspend (String) -> Unit) -> EngineResult,
    public val call: suspend (Upstream, RequestId, Work.ServiceCall) -> CallResult<ServiceResponse>,
)
