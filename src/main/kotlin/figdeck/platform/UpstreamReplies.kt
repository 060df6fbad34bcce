package figdeck.platform

import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.isFromExpectedUpstream
import figdeck.daemon.command.serving.isSuccess
import figdeck.http.client.HttpReply
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MISDIRECTED_REQUEST = 421

/** The value of [LEAVING_HEADER] in the answers of an upstream that is shutting down. */
private const val IS_LEAVING = "1"

/**
 * Converts [reply] to the response to the attempt [id]. A response without this id is not trusted, nor is a successful
 * one that lacks the upstream's stamp or has a content encoding: it may be a late copy of the answer to an earlier
 * request on the connection. Upstreams return the id in all their responses.
 */
internal fun upstreamReply(reply: HttpReply, id: String?): UpstreamReply {
    val headers = reply.headers
    val hasOwnId = headers.get(ATTEMPT_ID_HEADER) == id
    val isOwnBody = RESPONSE_STAMP_HEADER in headers && HttpHeaderNames.CONTENT_ENCODING !in headers
    val executionStatus = when {
        !hasOwnId || (isSuccess(reply.status) && !isOwnBody) -> ExecutionStatus.UNVERIFIED
        reply.status == MISDIRECTED_REQUEST -> ExecutionStatus.WRONG_UPSTREAM
        NOT_EXECUTED_HEADER in headers -> ExecutionStatus.NOT_RUN
        else -> ExecutionStatus.RAN
    }
    val isDelimited = HttpHeaderNames.CONTENT_LENGTH in headers || HttpHeaderNames.TRANSFER_ENCODING in headers
    return UpstreamReply(
        executionStatus = executionStatus,
        status = reply.status,
        headers = forwardableHeaders(headers),
        body = reply.body,
        isDelimited = isDelimited,
        isLeaving = executionStatus.isFromExpectedUpstream && headers.get(LEAVING_HEADER)?.trim() == IS_LEAVING,
        earlierExchanges = reply.earlierExchanges,
        coldRemaining = if (executionStatus.isFromExpectedUpstream) parseColdTime(headers.get(COLD_HEADER)) else null,
    )
}

/** Parses the milliseconds for which an upstream stays cold; null if there is no valid number. */
private fun parseColdTime(text: String?): Duration? =
    text?.trim()?.toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }?.milliseconds
