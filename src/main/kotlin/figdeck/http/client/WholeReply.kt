package figdeck.http.client

import arrow.core.Either
import arrow.core.left
import figdeck.http.readAll
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * A response that was read to its end.
 *
 * @property body the whole body; null if it was longer than allowed.
 */
public data class WholeReply(
    public val status: Int,
    public val body: ByteArray?,
)

/**
 * Sends [request] and reads the whole response, within [limit] from the start. A peer that sends single bytes now and
 * then, or bytes without end, can't prolong the exchange. At most [maxBytes] are kept in memory.
 */
public suspend fun HttpClient.fetchWhole(
    request: OutgoingRequest,
    maxBytes: Int,
    limit: Duration,
): Either<ExchangeFailure, WholeReply> =
    withTimeoutOrNull(limit) {
        exchange(request) { reply -> WholeReply(reply.status, reply.body.readAll(maxBytes).getOrNull()) }
    } ?: ExchangeFailure.Lost("${request.address} sent no whole response within $limit", LossCause.TIMEOUT).left()
