package figdeck.upstream.command

import figdeck.model.CallResult
import figdeck.model.RequestId
import figdeck.model.Upstream
import figdeck.model.Work

/**
 * The operations that figdeck runs at upstreams.
 *
 * @property generate runs a generation and passes on each text delta; cancelling the coroutine cancels the generation
 * at the upstream.
 * @property call runs a call to a plain service.
 */
public data class UpstreamCommands(
    public val generate: suspend (Generation, onDelta: suspend (String) -> Unit) -> EngineResult,
    public val call: suspend (Upstream, RequestId, Work.ServiceCall) -> CallResult<ServiceResponse>,
)
