package figdeck.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.dynatrace.hash4j.hashing.Hashing
import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.model.Refusal
import figdeck.model.UpstreamId
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val ATTEMPT_ID_HEADER = "X-Attempt-Id"
internal const val DEADLINE_HEADER = "X-Deadline-Ms"
internal const val RESPONSE_STAMP_HEADER = "X-Response-Stamp"
internal const val NOT_EXECUTED_HEADER = "X-Not-Executed"
internal const val LAST_EVENT_ID_HEADER = "Last-Event-Id"
internal const val TEAM_HEADER = "X-Tenant"
internal const val WAIT_HEADER = "X-Wait-Ms"
internal const val EXPECTED_UPSTREAM_HEADER = "X-Expect-Instance"
private const val TOKEN_USAGE_HEADER = "X-Token-Usage"
private const val PROMPT_PREFIX_HEADER = "X-Prompt-Prefix"
private const val BEARER_PREFIX = "Bearer "

/** What a caller that names no deadline is given. */
private val DEFAULT_DEADLINE = 30.seconds

/** The headers that concern one connection alone, and those that this system sets itself. */
private val NON_FORWARDED_HEADERS = listOf(
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Authorization",
    TEAM_HEADER, EXPECTED_UPSTREAM_HEADER, DEADLINE_HEADER, LAST_EVENT_ID_HEADER,
)

/**
 * What the headers of a request say.
 *
 * @property id the caller's id of this attempt.
 * @property timeLeft how long the caller waits.
 * @property tokens the tokens of the prompt and the most to generate; 1 where none are named.
 * @property affinity a hash of the parts of the prompt that other requests share; null without such parts.
 * @property lastEventId the event after which a stream begins.
 */
internal data class CallerHeaders(
    val id: String,
    val host: String,
    val key: String?,
    val timeLeft: Duration,
    val tokens: Int,
    val affinity: Long?,
    val lastEventId: Long?,
)

/** Reads the head of [call]. */
internal fun parseCallerHeaders(call: HttpCall): Either<Refusal, CallerHeaders> {
    val headers = call.headers
    val id = headers.get(ATTEMPT_ID_HEADER)
    val host = headers.get(HttpHeaderNames.HOST)
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
            affinity = headers.get(PROMPT_PREFIX_HEADER)?.let { hashSharedPrefix(it) },
            lastEventId = headers.get(LAST_EVENT_ID_HEADER)?.trim()?.toLongOrNull(),
        ).right()
    }
}

/** The headers that go on to [upstream] with the request of [call], on behalf of [team]. */
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

/** The headers of an upstream's response that go on to a caller. */
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

/** `prompt,output` counts. */
private fun parseTokenCount(text: String): Int = text.split(',').sumOf { it.trim().toIntOrNull() ?: 0 }.coerceAtLeast(1)

/** The parts are `id:tokens`, in order; the last one is the request's own or its session's. */
private fun hashSharedPrefix(text: String): Long? {
    val shared = text.split(',').map { it.trim().substringBefore(':') }.dropLast(1)
    return if (shared.isEmpty()) null else Hashing.komihash5_0().hashCharsToLong(shared.joinToString(","))
}
