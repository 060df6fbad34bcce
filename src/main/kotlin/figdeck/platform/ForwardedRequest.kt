package figdeck.platform

import figdeck.daemon.command.serving.SendOptions
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.model.TeamId
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration.Companion.seconds

/** How long an upstream may take nothing of a body before the send is given up. */
private val BODY_WRITE_TIMEOUT = 2.seconds

/**
 * The parts of a forwarded request that are the same for every upstream.
 *
 * @property headers the original headers; those that the gateway sets are replaced when the request is sent.
 */
internal data class ForwardedRequest(
    val line: RequestLine,
    val headers: HttpHeaders,
    val team: TeamId?,
)

/** Builds the outgoing request that sends [request] with [body] to the chosen upstream. */
internal fun SendOptions.toOutgoingRequest(
    request: ForwardedRequest,
    body: ByteArray
): OutgoingRequest = OutgoingRequest(
    address = upstream.address,
    line = request.line,
    headers = upstreamRequestHeaders(request.headers, upstream.id, request.team?.value, timeLeft, resumeAfter),
    body = body,
    freshConnection = freshConnection,
    headTimeout = headTimeout,
    idleTimeout = idleTimeout,
    writeTimeout = BODY_WRITE_TIMEOUT,
)
