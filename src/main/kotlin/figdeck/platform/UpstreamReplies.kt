package figdeck.platform

import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.isFromExpectedUpstream
import figdeck.daemon.command.serving.isSuccess
import figdeck.http.client.HttpReply
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.WeightsVersion
import figdeck.query.serving.Misdirection
import figdeck.query.serving.MisdirectionCause
import figdeck.query.serving.cause
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MISDIRECTED_REQUEST = 421

/** Excludes the names of numbers, hexadecimal digits and suffixes that the parser of numbers takes as well. */
private val DECIMAL_DIGITS = Regex("[0-9.eE+-]+")

/** The value of [LEAVING_HEADER] in the answers of an upstream that is shutting down. */
private const val IS_LEAVING = "1"

/**
 * What the response to a request is checked against.
 *
 * @property id the id of the attempt; null if the request has none.
 * @property upstream the upstream to which it was sent.
 * @property weights the weights that it asks for; null for any.
 */
internal data class ExpectedReply(
    val id: String?,
    val upstream: UpstreamId,
    val weights: WeightsVersion?,
)

/**
 * Converts [reply] to the response to the [expected] attempt. A response without this id is not trusted, nor is a
 * successful one that lacks the upstream's stamp or has a content encoding: it may be a late copy of the answer to an
 * earlier request on the connection. Upstreams return the id in all their responses.
 */
internal fun upstreamReply(reply: HttpReply, expected: ExpectedReply): UpstreamReply {
    val headers = reply.headers
    val hasOwnId = headers.get(ATTEMPT_ID_HEADER) == expected.id
    val weights = headers.get(WEIGHTS_HEADER)?.let { parseWeights(it) }
    val isOwnBody = RESPONSE_STAMP_HEADER in headers && HttpHeaderNames.CONTENT_ENCODING !in headers
    val executionStatus = when {
        !hasOwnId || (isSuccess(reply.status) && !isOwnBody) -> ExecutionStatus.UNVERIFIED
        reply.status == MISDIRECTED_REQUEST ->
            Misdirection(
                expected.upstream,
                expected.weights,
                headers.get(UPSTREAM_ID_HEADER)?.trim(),
                weights
            ).cause.executionStatus
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
        weights = weights,
        advertisedRate = if (executionStatus.isFromExpectedUpstream) {
            parseAdvertisedRate(headers.getAll(LIMIT_HEADER))
        } else {
            null
        },
    )
}

private val MisdirectionCause.executionStatus: ExecutionStatus
    get() = when (this) {
        MisdirectionCause.REPLACED -> ExecutionStatus.WRONG_UPSTREAM
        MisdirectionCause.OTHER_WEIGHTS -> ExecutionStatus.OTHER_WEIGHTS
        MisdirectionCause.OTHER -> ExecutionStatus.NOT_RUN
    }

/** Parses the milliseconds for which an upstream stays cold; null if there is no valid number. */
private fun parseColdTime(text: String?): Duration? =
    text?.trim()?.toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }?.milliseconds

/** Parses the [fields] that name a limit; without any there is none. Returns null if one of them is no valid number. */
private fun parseAdvertisedRate(fields: List<String>): AdvertisedRate? {
    val rates = fields.map { field -> field.trim().takeIf { DECIMAL_DIGITS.matches(it) }?.toDoubleOrNull() }
    return when {
        rates.isEmpty() -> AdvertisedRate.Unlimited
        rates.all { it != null && it.isFinite() && it >= 0 } -> AdvertisedRate.Limited(rates.filterNotNull().min())
        else -> null
    }
}
