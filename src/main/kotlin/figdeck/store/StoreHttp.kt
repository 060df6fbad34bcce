package figdeck.store

import arrow.core.Either
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.readAll
import figdeck.model.Address
import figdeck.model.CallResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAX_REPLY_BYTES = 64 * 1024 * 1024
private val CALL_DEADLINE = 2.seconds

internal const val OK = 200
internal const val NOT_FOUND = 404
internal const val CONFLICT = 409
private const val TOO_MANY = 429
private const val UNAVAILABLE = 503

/** The status and body of the platform's reply. */
internal data class StoreReply(
    val status: Int,
    val body: ByteArray,
) {
    val text: String get() = body.decodeToString()
}

/** A connection to the platform's services at [address]; no call lasts longer than [deadline]. */
internal data class StoreHttp(
    val client: HttpClient,
    val address: Address,
    val deadline: Duration = CALL_DEADLINE,
)

/** Sends one call. Statuses 429 and 503 mean that the platform did nothing; any other failure is unknown. */
internal suspend fun StoreHttp.call(
    method: String,
    target: String,
    body: ByteArray = ByteArray(0),
): CallResult<StoreReply> {
    val request = OutgoingRequest(
        address = address,
        method = method,
        target = target,
        body = body,
        headTimeout = deadline,
        idleTimeout = deadline,
    )
    val result = client.exchange(request) { reply -> reply.status to reply.body.readAll(MAX_REPLY_BYTES) }
    return when (result) {
        is Either.Left -> result.value.toResult()
        is Either.Right -> toResult(result.value.first, result.value.second.getOrNull())
    }
}

private fun toResult(status: Int, body: ByteArray?): CallResult<StoreReply> = when {
    body == null -> CallResult.Unknown("the platform's reply is too long")
    status == TOO_MANY || status == UNAVAILABLE -> CallResult.NotDone("the platform answered $status")
    status == OK || status == NOT_FOUND || status == CONFLICT -> CallResult.Done(StoreReply(status, body))
    else -> CallResult.Unknown("the platform answered $status")
}

private fun ExchangeFailure.toResult(): CallResult<Nothing> = when (this) {
    is ExchangeFailure.NotSent -> CallResult.NotDone(reason)
    is ExchangeFailure.Lost -> CallResult.Unknown(reason)
}
