package figdeck.daemon.command

import arrow.core.getOrElse
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.model.Address
import figdeck.model.PeerView
import figdeck.wire.command.encodeChanges
import figdeck.wire.query.decodePeerView
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration.Companion.milliseconds

/** The path at which daemons request and push configuration changes. */
internal const val PEER_CONFIGURATION_PATH = "/peer/configuration"
private const val MAX_VIEW_BYTES = 16 * 1024 * 1024
private const val OK = 200
private val RESPONSE_TIMEOUT = 700.milliseconds

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
        method = method,
        target = target,
        headers = newHeaders().set(HttpHeaderNames.AUTHORIZATION, "Bearer $secret"),
        body = body.encodeToByteArray(),
        headTimeout = RESPONSE_TIMEOUT,
        idleTimeout = RESPONSE_TIMEOUT,
    )
    return exchange(request) { reply ->
        val text = reply.body.readAll(MAX_VIEW_BYTES).getOrElse { ByteArray(0) }.decodeToString()
        if (reply.status == OK) decodePeerView(text).getOrNull() else null
    }.getOrNull()
}
