package figdeck.daemon.command

import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.client.fetchWhole
import figdeck.http.newHeaders
import figdeck.model.Address
import figdeck.wire.command.PromiseRequest
import figdeck.wire.command.decodeGrants
import figdeck.wire.command.encodeDraws
import figdeck.wire.command.encodePromiseRequest
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal const val DRAW_PATH = "/peer/draw"
internal const val PROMISE_PATH = "/peer/promise"
internal const val WAKE_PATH = "/peer/wake"
private const val OK = 200
private const val MAX_REPLY_BYTES = 1024 * 1024
private val DRAW_TIMEOUT = 250.milliseconds
private val PROMISE_TIMEOUT = 1_000.milliseconds

/** Calls other daemons over HTTP with JSON and authenticates with the [secret] that the peers share. */
internal class PeerClient(
    private val client: HttpClient,
    private val secret: String,
) {
    /** Requests tokens from the owner of their buckets. */
    val requestGrants: RequestGrants = { owner, draws ->
        call(owner.address, DRAW_PATH, encodeDraws(draws), DRAW_TIMEOUT)?.let { decodeGrants(it).getOrNull() }
    }

    /** The calls that concern ownership. */
    val ownership: PeerOwnershipCalls = PeerOwnershipCalls(
        promise = { guardian, host, incarnation ->
            val question = encodePromiseRequest(PromiseRequest(host, incarnation))
            call(guardian.address, PROMISE_PATH, question, PROMISE_TIMEOUT) != null
        },
        notifyReleased = { peer -> call(peer.address, WAKE_PATH, "", DRAW_TIMEOUT) },
    )

    /** Posts [body] to [target]. Returns the reply, or null if the peer sent no valid reply within [deadline]. */
    suspend fun call(address: Address, target: String, body: String, deadline: Duration): String? {
        val request = OutgoingRequest(
            address = address,
            line = RequestLine("POST", target),
            headers = newHeaders().set(HttpHeaderNames.AUTHORIZATION, "Bearer $secret"),
            body = body.encodeToByteArray(),
            headTimeout = deadline,
            idleTimeout = deadline,
        )
        val reply = client.fetchWhole(request, MAX_REPLY_BYTES, deadline).getOrNull()
        return reply?.body?.takeIf { reply.status == OK }?.decodeToString()
    }
}
