package figdeck.daemon.command

import figdeck.model.RequestId
import figdeck.upstream.command.ServiceAnswer

/** The answer of a plain service and the request that it answers. */
public data class CallAnswer(
    public val id: RequestId,
    public val answer: ServiceAnswer,
)
