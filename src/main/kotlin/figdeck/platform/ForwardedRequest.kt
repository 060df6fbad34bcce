package figdeck.platform

import figdeck.daemon.command.serving.SendOrder
import figdeck.http.client.OutgoingRequest
import figdeck.model.TeamId
import io.netty.handler.codec.http.HttpHeaders

/**
 * What of a request goes to whichever upstream it is sent to.
 *
 * @property headers the headers as they came; those that this system sets are replaced.
 */
internal data class ForwardedRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaders,
    val team: TeamId?,
)

/** The request that this order sends. */
internal fun SendOrder.toOutgoingRequest(head: ForwardedRequest, body: ByteArray): OutgoingRequest = OutgoingRequest(
    address = upstream.address,
    method = head.method,
    target = head.target,
    headers = upstreamRequestHeaders(head.headers, upstream.id, head.team?.value, timeLeft, resumeAfter),
    body = body,
    freshConnection = freshConnection,
    headTimeout = headTimeout,
    idleTimeout = idleTimeout,
)
