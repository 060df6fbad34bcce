package figdeck.daemon.command.serving

import arrow.core.Either
import figdeck.http.HttpBody
import figdeck.http.client.ExchangeFailure
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.query.serving.Access
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * A request that a caller waits for.
 *
 * @property id the caller's id of this attempt.
 * @property deadline when the caller gives up.
 * @property cost the expected tokens; 1 for a call of a plain service.
 * @property affinity a hash of the prompt's shared beginning; null without one.
 * @property lastEventId the event after which a stream begins; null for the whole stream.
 */
internal data class OnlineCall(
    val id: String,
    val access: Access,
    val receivedAt: Moment,
    val deadline: Moment,
    val cost: Int,
    val affinity: Long?,
    val lastEventId: Long?,
)

/** How long the final answer may still take at [now]. */
internal fun OnlineCall.timeLeft(now: Moment): Duration = minOf(deadline - now, receivedAt + access.route.timeout - now)

/**
 * How a request is to be sent to one upstream.
 *
 * @property timeLeft how long the caller still waits.
 * @property resumeAfter the event after which the stream begins; null for the whole stream.
 * @property headTimeout the longest wait for the head of the response.
 * @property idleTimeout the longest pause within the response.
 */
internal data class SendOptions(
    val upstream: Upstream,
    val timeLeft: Duration,
    val resumeAfter: Long?,
    val headTimeout: Duration,
    val idleTimeout: Duration,
    val freshConnection: Boolean,
)

/** What a response says of the request's execution. */
internal enum class ExecutionStatus {
    /** The upstream ran the request, and this is its answer. */
    RAN,

    /** The upstream did not run the request and never will. */
    NOT_RUN,

    /** Another upstream has the address; it did not run the request. */
    WRONG_UPSTREAM,

    /** The response belongs to another request or lacks what proves that it is an upstream's. */
    UNVERIFIED,
}

/**
 * A response whose head has arrived.
 *
 * @property headers what goes on to the caller.
 */
internal data class UpstreamReply(
    val executionStatus: ExecutionStatus,
    val status: Int,
    val headers: HttpHeaders,
    val body: HttpBody,
)

private const val FIRST_SUCCESS = 200
private const val LAST_SUCCESS = 299

/** Whether [status] tells of success. */
internal fun isSuccess(status: Int): Boolean = status in FIRST_SUCCESS..LAST_SUCCESS

internal val UpstreamReply.isSuccess: Boolean get() = isSuccess(status)

/** Sends the request as ordered and passes the response to the function. Leaving the body unread cancels it. */
internal typealias Forward =
    suspend (SendOptions, suspend (UpstreamReply) -> Unit) -> Either<ExchangeFailure, Unit>

/**
 * The way back to a caller.
 *
 * @property start sends status and headers of a response whose body follows in chunks.
 * @property write sends a chunk.
 * @property full sends a whole response.
 */
internal data class CallerChannel(
    val start: suspend (status: Int, headers: HttpHeaders) -> Unit,
    val write: suspend (ByteArray) -> Unit,
    val full: suspend (status: Int, headers: HttpHeaders, body: ByteArray) -> Unit,
)
