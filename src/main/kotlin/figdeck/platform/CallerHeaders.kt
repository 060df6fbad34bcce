package figdeck.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.dynatrace.hash4j.hashing.Hashing
import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.model.serving.JobItem
import figdeck.model.serving.PromptPart
import figdeck.model.serving.WeightsVersion
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val ATTEMPT_ID_HEADER = "X-Attempt-Id"
internal const val DEADLINE_HEADER = "X-Deadline-Ms"
internal const val RESPONSE_STAMP_HEADER = "X-Response-Stamp"
internal const val NOT_EXECUTED_HEADER = "X-Not-Executed"
internal const val LEAVING_HEADER = "Server-Leaving"
internal const val COLD_HEADER = "X-Cold-Ms"
internal const val LIMIT_HEADER = "Server-Limit"
internal const val LAST_EVENT_ID_HEADER = "Last-Event-Id"
internal const val TEAM_HEADER = "X-Tenant"
internal const val WAIT_HEADER = "X-Wait-Ms"
internal const val EXPECTED_WEIGHTS_HEADER = "X-Expect-Version"
internal const val WEIGHTS_HEADER = "X-Weight-Versions"
internal const val UPSTREAM_ID_HEADER = "X-Instance-Id"
internal const val EXPECTED_UPSTREAM_HEADER = "X-Expect-Instance"
internal const val TOKEN_USAGE_HEADER = "X-Token-Usage"
internal const val PROMPT_PREFIX_HEADER = "X-Prompt-Prefix"
private const val BEARER_PREFIX = "Bearer "

/** The deadline of a request that names none. */
private val DEFAULT_DEADLINE = 30.seconds

/** Headers that are not forwarded: hop-by-hop headers, the caller's key, and those that the gateway sets itself. */
private val NON_FORWARDED_HEADERS = listOf(
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Authorization",
    TEAM_HEADER, EXPECTED_UPSTREAM_HEADER, DEADLINE_HEADER, LAST_EVENT_ID_HEADER,
)

/**
 * The parsed headers of a caller's request.
 *
 * @property id the id that the caller gave this attempt; empty if the header is missing.
 * @property key the team's key from the Authorization header; null if there is none.
 * @property timeLeft the time until the caller's deadline.
 * @property tokens the number of prompt tokens plus the maximum number of output tokens; 1 if the header is missing.
 * @property affinity a hash of the prompt prefix that other requests share; null if there is none.
 * @property lastEventId the event after which the stream resumes; null to start at the beginning.
 * @property sharedParts the parts of the prompt that other requests may share, in order.
 * @property expectedWeights the weights that the request asks for; null for any.
 */
internal data class CallerHeaders(
    val id: String,
    val host: String,
    val key: String?,
    val timeLeft: Duration,
    val tokens: Int,
    val affinity: Long?,
    val lastEventId: Long?,
    val sharedParts: List<PromptPart>,
    val expectedWeights: WeightsVersion?,
)

/** Parses the headers of [call]; refuses a request without a Host header. */
internal fun parseCallerHeaders(call: HttpCall): Either<Refusal, CallerHeaders> {
    val headers = call.headers
    val id = headers.get(ATTEMPT_ID_HEADER)
    val host = headers.get(HttpHeaderNames.HOST)
    val sharedParts = headers.get(PROMPT_PREFIX_HEADER)?.let { parseSharedParts(it) }.orEmpty()
    return when {
        host.isNullOrBlank() -> Refusal.BadRequest("Host", "name the host").left()
        else -> CallerHeaders(
            id = id.orEmpty(),
            host = host.substringBefore(':'),
            key = headers.get(HttpHeaderNames.AUTHORIZATION)
                ?.takeIf { it.startsWith(BEARER_PREFIX, ignoreCase = true) }
                ?.substring(BEARER_PREFIX.length)
                ?.trim(),
            timeLeft = headers.get(DEADLINE_HEADER)?.toLongOrNull()?.milliseconds ?: DEFAULT_DEADLINE,
            tokens = headers.get(TOKEN_USAGE_HEADER)?.let { parseTokenCount(it) } ?: 1,
            affinity = hashOf(sharedParts),
            lastEventId = headers.get(LAST_EVENT_ID_HEADER)?.trim()?.toLongOrNull(),
            sharedParts = sharedParts,
            expectedWeights = headers.get(EXPECTED_WEIGHTS_HEADER)?.let { parseWeights(it) },
        ).right()
    }
}

/** Returns the parts of the prompt of [item] that other requests may share, in order. */
internal fun sharedPartsOf(item: JobItem): List<PromptPart> =
    item.headers.entries.find { it.key.equals(PROMPT_PREFIX_HEADER, ignoreCase = true) }
        ?.let { parseSharedParts(it.value) }.orEmpty()

/** Returns the weights that [item] asks for; null for any. */
internal fun expectedWeightsOf(item: JobItem): WeightsVersion? =
    item.headers.entries.find { it.key.equals(EXPECTED_WEIGHTS_HEADER, ignoreCase = true) }
        ?.let { parseWeights(it.value) }

/** Parses a version of weights. Integers are equal if they have the same value; another text is kept as it is. */
internal fun parseWeights(text: String): WeightsVersion {
    val name = text.trim()
    return WeightsVersion(name.toLongOrNull()?.toString() ?: name)
}

/**
 * Returns the request headers to send to [upstream]: the end-to-end headers of [original] and the gateway's own.
 *
 * @param team the authenticated team; null on an open route. A team header sent by the caller is never forwarded.
 * @param resumeAfter the event after which the stream resumes; null for the whole stream.
 */
internal fun upstreamRequestHeaders(
    original: HttpHeaders,
    upstream: UpstreamId,
    team: String?,
    timeLeft: Duration,
    resumeAfter: Long?,
): HttpHeaders {
    val headers = forwardableHeaders(original)
    headers.set(EXPECTED_UPSTREAM_HEADER, upstream.value)
    headers.set(DEADLINE_HEADER, timeLeft.inWholeMilliseconds.coerceAtLeast(1))
    team?.let { headers.set(TEAM_HEADER, it) }
    resumeAfter?.let { headers.set(LAST_EVENT_ID_HEADER, it) }
    return headers
}

/** Returns [original] without [NON_FORWARDED_HEADERS] and the headers that its Connection header names. */
internal fun forwardableHeaders(original: HttpHeaders): HttpHeaders {
    val headers = newHeaders().add(original)
    original.getAll(HttpHeaderNames.CONNECTION)
        .flatMap { it.split(',') }
        .map { it.trim() }
        .filter { it.isNotEmpty() }
        .forEach { headers.remove(it) }
    NON_FORWARDED_HEADERS.forEach { headers.remove(it) }
    return headers
}

/** Sums a header value of the form `prompt,output`. */
private fun parseTokenCount(text: String): Int = text.split(',').sumOf { it.trim().toIntOrNull() ?: 0 }.coerceAtLeast(1)

/**
 * Returns all prompt parts except the last one, which belongs to this request or its session. The header lists the
 * parts in order as `id:tokens`.
 */
private fun parseSharedParts(text: String): List<PromptPart> =
    text.split(',').dropLast(1).map { PromptPart(it.trim().substringBefore(':')) }

private fun hashOf(sharedParts: List<PromptPart>): Long? =
    if (sharedParts.isEmpty()) null else Hashing.komihash5_0().hashCharsToLong(sharedParts.joinToString(","))
