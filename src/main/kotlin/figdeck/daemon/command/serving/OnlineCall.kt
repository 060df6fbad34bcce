package figdeck.daemon.command.serving

import arrow.core.Either
import figdeck.http.HttpBody
import figdeck.http.client.ExchangeFailure
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.PromptPart
import figdeck.model.serving.RequestFingerprint
import figdeck.model.serving.WeightsVersion
import figdeck.model.serving.WorkFeatures
import figdeck.query.serving.NotRunCause
import figdeck.query.serving.RouteAccess
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * A request whose caller waits for the response.
 *
 * @property id the caller's id for this attempt.
 * @property deadline when the caller stops waiting.
 * @property cost the expected tokens; 1 for a call to a service.
 * @property affinity a hash of the prompt's shared prefix; null without one.
 * @property lastEventId the event after which the stream resumes; null for the whole stream.
 * @property sharedParts the parts of the prompt that other requests may share; empty without a prompt.
 * @property fingerprint the same for each repetition of the request by its caller; null if it was not computed.
 * @property features what the request tells about its work; null for a plain service.
 * @property expectedWeights the weights that the request asks for; null for any.
 */
internal data class OnlineCall(
    val id: String,
    val access: RouteAccess,
    val receivedAt: Moment,
    val deadline: Moment,
    val cost: Int,
    val affinity: Long?,
    val lastEventId: Long?,
    val sharedParts: List<PromptPart> = emptyList(),
    val fingerprint: RequestFingerprint? = null,
    val features: WorkFeatures? = null,
    val expectedWeights: WeightsVersion? = null,
) {
    /** What may be the cause if this request loses its upstreams. */
    val suspects: List<CrashSuspect> = sharedParts + listOfNotNull(fingerprint)
}

/** How long the final answer may still take at [now], by the caller's deadline and the route's timeout. */
internal fun OnlineCall.timeLeft(now: Moment): Duration = minOf(deadline - now, receivedAt + access.route.timeout - now)

/**
 * The options for sending a request to one upstream.
 *
 * @property timeLeft how long the caller still waits.
 * @property resumeAfter the event after which the stream resumes; null for the whole stream.
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

/** Whether an upstream executed a request, as its response indicates. */
internal enum class ExecutionStatus {
    /** The upstream ran the request and the response is its answer. */
    RAN,

    /** The upstream did not run the request and never will. */
    NOT_RUN,

    /** Another upstream uses the address now. It did not run the request. */
    WRONG_UPSTREAM,

    /** The upstream has other weights than the request asks for. It did not run the request. */
    OTHER_WEIGHTS,

    /** The response belongs to another request, or it lacks the proof that an upstream sent it. */
    UNVERIFIED,
}

/** Whether the response is the expected upstream's own. */
internal val ExecutionStatus.isFromExpectedUpstream: Boolean
    get() = this == ExecutionStatus.RAN || this == ExecutionStatus.NOT_RUN

/** Whether the weights that the response names are those of the expected upstream. */
internal val ExecutionStatus.showsOwnWeights: Boolean
    get() = isFromExpectedUpstream || this == ExecutionStatus.OTHER_WEIGHTS

/** Why the response rejects the request as misdirected; null if it doesn't. */
internal val ExecutionStatus.misdirection: NotRunCause?
    get() = when (this) {
        ExecutionStatus.WRONG_UPSTREAM -> NotRunCause.REPLACED
        ExecutionStatus.OTHER_WEIGHTS -> NotRunCause.OTHER_WEIGHTS
        ExecutionStatus.RAN, ExecutionStatus.NOT_RUN, ExecutionStatus.UNVERIFIED -> null
    }

/**
 * A response whose head has arrived.
 *
 * @property headers the headers that are forwarded to the caller.
 * @property isDelimited whether the response declares where its body ends. Otherwise it ends with its connection.
 * @property isLeaving whether the upstream says that it is shutting down.
 * @property coldRemaining how long the upstream stays cold; null if it doesn't say so.
 * @property weights the weights of the upstream that answered; null if it doesn't name them.
 * @property earlierExchanges the number of exchanges that the connection had carried before this one.
 * @property advertisedRate the requests per second that the upstream takes; null if the response doesn't tell.
 */
internal data class UpstreamReply(
    val executionStatus: ExecutionStatus,
    val status: Int,
    val headers: HttpHeaders,
    val body: HttpBody,
    val isDelimited: Boolean = true,
    val isLeaving: Boolean = false,
    val earlierExchanges: Int = 0,
    val coldRemaining: Duration? = null,
    val weights: WeightsVersion? = null,
    val advertisedRate: AdvertisedRate? = null,
)

private const val FIRST_SUCCESS = 200
private const val LAST_SUCCESS = 299

/** Whether [status] is a 2xx status. */
internal fun isSuccess(status: Int): Boolean = status in FIRST_SUCCESS..LAST_SUCCESS

internal val UpstreamReply.isSuccess: Boolean get() = isSuccess(status)

/**
 * Sends the request with the given options and passes the response to the function. If the body is left unread, the
 * exchange is cancelled.
 */
internal typealias Forward =
    suspend (SendOptions, suspend (UpstreamReply) -> Unit) -> Either<ExchangeFailure, Unit>

/**
 * Sends the response to the caller.
 *
 * @property start sends the status and headers of a response whose body follows in chunks.
 * @property write sends a chunk of the body.
 * @property full sends a complete response.
 */
internal data class CallerChannel(
    val start: suspend (status: Int, headers: HttpHeaders) -> Unit,
    val write: suspend (ByteArray) -> Unit,
    val full: suspend (status: Int, headers: HttpHeaders, body: ByteArray) -> Unit,
)
