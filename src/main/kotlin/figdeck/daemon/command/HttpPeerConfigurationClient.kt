package figdeck.daemon.command

import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.client.fetchWhole
import figdeck.http.newHeaders
import figdeck.model.Address
import figdeck.model.PeerView
import figdeck.wire.command.encodeChanges
import figdeck.wire.query.decodePeerView
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The path at which daemons request and push configuration changes. */
internal const val PEER_CONFIGURATION_PATH = "/peer/configuration"
private const val MAX_VIEW_BYTES = 16 * 1024 * 1024
private const val OK = 200
private val RESPONSE_TIMEOUT = 700.milliseconds

/** How long a reply may take after its head is due. A whole configuration has several megabytes. */
private val BODY_TIMEOUT = 2.seconds

/** Creates a client that calls peers over HTTP with JSON and authenticates with [secret]. */
internal fun httpPeerConfigurationClient(
    client: HttpClient,
    secret: String
): PeerConfigurationClient = PeerConfigurationClient(
    ask = { address, revision ->
        client.exchangeView(
            address,
            secret,
            "GET",
            "$PEER_CONFIGURATION_PATH?revision=$revision",
            ""
        )
    },
    push = { address, changes ->
        client.exchangeView(
            address,
            secret,
            "POST",
            PEER_CONFIGURATION_PATH,
            encodeChanges(changes)
        )
    },
)

private suspend fun HttpClient.exchangeView(
    address: Address,
    secret: String,
    method: String,
    target: String,
    body: String,
): PeerView? {
    val request = OutgoingRequest(
        address = address,
        line = RequestLine(method, target),
        headers = newHeaders().set(HttpHeaderNames.AUTHORIZATION, "Bearer $secret"),
        body = body.encodeToByteArray(),
        headTimeout = RESPONSE_TIMEOUT,
        idleTimeout = RESPONSE_TIMEOUT,
    )
    val reply = fetchWhole(request, MAX_VIEW_BYTES, RESPONSE_TIMEOUT + BODY_TIMEOUT).getOrNull()
    return reply?.body?.takeIf { reply.status == OK }?.let { decodePeerView(it.decodeToString()).getOrNull() }
}
