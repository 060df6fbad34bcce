package figdeck.daemon.command.serving

import figdeck.http.client.ExchangeFailure
import figdeck.http.client.containsStatusLine
import figdeck.http.readAll
import figdeck.log.LogLine
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.isRepeatable
import figdeck.model.serving.isStream
import figdeck.query.serving.FailedSend
import figdeck.query.serving.NotRunCause
import figdeck.query.serving.SendEnding
import figdeck.query.serving.SendHistory
import figdeck.query.serving.label
import figdeck.query.serving.possibleRuns
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration.Companion.milliseconds

/** The size limit of an answer that is buffered until it is complete. [AnswerMemory] limits all of them together. */
private const val MAX_BUFFERED_ANSWER_BYTES = 1024 * 1024
private const val FIRST_SERVER_ERROR = 500

/** The shortest time without data after which a repeatable request is sent to another upstream. */
private val MIN_STALL_TIMEOUT = 700.milliseconds

/** The stall timeout of a repeatable request, as a multiple of its route's objective. */
private const val STALL_FACTOR = 2

/**
 * Whether [body] holds a second answer to the request [id]: a late copy may complete a body that broke off, and end
 * just where the body should.
 */
internal fun holdsAnswerTo(id: String, body: ByteArray): Boolean =
    id.isNotEmpty() && body.containsStatusLine() && id in body.decodeToString()

/** A whole answer from an upstream that ran the request. */
internal class WholeAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteArray,
)

/** Sends one request to one upstream after another. */
internal class UpstreamSender(
    private val services: OnlineServices,
    private val call: OnlineCall,
    private val forward: Forward,
    private val caller: CallerChannel,
) : AutoCloseable {
    private val route = call.access.route

    /** Relays a streamed answer to the caller. */
    val stream: StreamRelay = StreamRelay(call.lastEventId)

    /** The latest error response from an upstream. */
    var lastErrorResponse: WholeAnswer? = null
        private set

    /** The answer of the upstream for [deliver]. */
    private var answer: WholeAnswer? = null

    /** The memory of the answers read so far; an error response is kept until the request ends. */
    private val shares = mutableListOf<AnswerMemory.AnswerShare>()
    private var hasWholeAnswerBegun = false

    /** Measures the stream of the latest upstream; null before the first send. */
    var usageMeter: SlotUsageMeter? = null
        private set

    /** Whether a part of an answer may have been sent to the caller, so that no other one can be. */
    val hasAnswerBegun: Boolean get() = stream.hasStarted || hasWholeAnswerBegun

    /** Ends the request, whose answers are needed no more. */
    override fun close() = shares.forEach { it.close() }

    /** Sends [answer] to the caller. */
    suspend fun deliver(answer: WholeAnswer) {
        hasWholeAnswerBegun = true
        caller.full(answer.status, answer.headers, answer.body)
    }

    /** Sends the whole answer that the latest upstream gave, unless the caller got it as a stream. */
    suspend fun deliverAnswer() {
        answer?.let { deliver(it) }
    }

    /**
     * Sends the request to the upstream of [permit]. Returns null if the caller got its stream, or if there is a whole
     * answer for [deliverAnswer]: a caller that reads it slowly must not keep the slot.
     */
    suspend fun send(permit: HeldPermit, history: SendHistory): FailedSend? {
        var failure: FailedSend? = null
        var received: UpstreamReply? = null
        val sentAt = services.clock()
        val upstream = permit.upstream.id
        val options = sendOptions(permit, history)
        val eventsBefore = stream.eventCount
        val meter = SlotUsageMeter(sentAt, isResumed = options.resumeAfter != null)
        usageMeter = meter
        stream.meter = meter
        val result = forward(options) { reply ->
            received = reply
            services.slots.recordReply(permit, reply, sentAt, call.id, services.log)
            failure = receive(reply, permit, options, meter)
        }
        val hasBegun = stream.eventCount > eventsBefore
        val failed = result.fold({ failedSend(upstream, it, hasBegun) }, { failure })
        if (failed is FailedSend.NotRun) meter.onNotRun()
        services.log.note("sent", call.id) {
            put("upstream", upstream.value)
            put("owner", permit.owner?.host?.value ?: "self")
            put("waited_ms", (sentAt - call.receivedAt).inWholeMilliseconds)
            put("took_ms", (services.clock() - sentAt).inWholeMilliseconds)
            received?.let { logAnswer(it) }
            put("failure", failed?.reason ?: "none")
            if (failed is FailedSend.MayHaveRun) {
                put("ending", failed.label)
                put("events", (stream.eventCount - eventsBefore).toLong())
                put("shared_parts", call.sharedParts.joinToString(" "))
            }
        }
        failed?.let { recordFailure(it, permit) }
        return failed
    }

    private suspend fun recordFailure(failed: FailedSend, permit: HeldPermit) {
        services.countFailedSend(failed)
        if (failed is FailedSend.MayHaveRun && failed.ending == SendEnding.LOST_BEFORE_ANSWER) {
            services.crashGuard.recordLoss(call.id, permit.start, call.suspects)
        }
    }

    private fun failedSend(upstream: UpstreamId, lost: ExchangeFailure, hasBegun: Boolean): FailedSend = when (lost) {
        is ExchangeFailure.NotSent -> {
            val cause = if (lost.isPeerAtFault) NotRunCause.UNREACHABLE else NotRunCause.FULL
            FailedSend.NotRun(upstream, lost.reason, cause)
        }
        is ExchangeFailure.Lost -> FailedSend.MayHaveRun(upstream, lost.reason, lost.ending(hasBegun))
    }

    private fun sendOptions(permit: HeldPermit, history: SendHistory): SendOptions {
        val timeLeft = call.timeLeft(services.clock()).coerceAtLeast(1.milliseconds)
        val canRetry = route.kind.isRepeatable && history.possibleRuns + 1 < route.maxAttempts
        val stallTimeout = if (canRetry) maxOf(MIN_STALL_TIMEOUT, route.latencyObjective * STALL_FACTOR) else timeLeft
        return SendOptions(
            upstream = permit.upstream,
            timeLeft = timeLeft,
            resumeAfter = stream.lastEventId,
            headTimeout = minOf(stallTimeout, timeLeft),
            idleTimeout = minOf(stallTimeout, timeLeft),
            freshConnection = !route.kind.isRepeatable,
        )
    }

    private suspend fun receive(
        reply: UpstreamReply,
        permit: HeldPermit,
        options: SendOptions,
        meter: SlotUsageMeter,
    ): FailedSend? {
        val id = permit.upstream.id
        return when (reply.executionStatus) {
            ExecutionStatus.NOT_RUN ->
                FailedSend.NotRun(id, "the upstream answered ${reply.status} without running it", NotRunCause.FULL)
            ExecutionStatus.WRONG_UPSTREAM -> FailedSend.NotRun(id, "another upstream answered", NotRunCause.REPLACED)
            ExecutionStatus.OTHER_WEIGHTS ->
                FailedSend.NotRun(id, "the upstream has weights ${reply.weights}", NotRunCause.OTHER_WEIGHTS)
            ExecutionStatus.UNVERIFIED -> FailedSend.MayHaveRun(id, "the response matches no request")
            ExecutionStatus.RAN -> when {
                reply.isSuccess && route.kind.isStream -> relay(reply, options, meter)
                // Whatever this upstream answers would reach the caller within the stream of an earlier one.
                stream.hasStarted -> FailedSend.MayHaveRun(
                    id,
                    "the upstream answered ${reply.status} to a begun stream"
                )
                else -> receiveWhole(id, reply)
            }
        }
    }

    private suspend fun relay(reply: UpstreamReply, options: SendOptions, meter: SlotUsageMeter): FailedSend? {
        val eventsBefore = stream.eventCount
        val result = stream.relay(reply, options.idleTimeout, services.clock, caller) {
            services.crashGuard.recordAnswer(call.suspects)
        }
        return when (result) {
            RelayResult.Complete -> {
                meter.onComplete()
                null
            }
            is RelayResult.Broken ->
                FailedSend.MayHaveRun(
                    options.upstream.id,
                    result.reason,
                    result.ending(stream.eventCount > eventsBefore)
                )
        }
    }

    private suspend fun receiveWhole(upstream: UpstreamId, reply: UpstreamReply): FailedSend? {
        val share = services.answerMemory.newShare().also { shares += it }
        val body = reply.body.readAll(MAX_BUFFERED_ANSWER_BYTES) { share.growTo(it) }.getOrNull()
        if (body == null) share.close()
        return when {
            body == null -> FailedSend.MayHaveRun(
                upstream,
                "the answer is longer than $MAX_BUFFERED_ANSWER_BYTES bytes or than the memory that is left for it"
            )
            holdsAnswerTo(call.id, body) -> FailedSend.MayHaveRun(
                upstream,
                "the answer holds the head of another one to the same request"
            )
            reply.status >= FIRST_SERVER_ERROR -> {
                lastErrorResponse = WholeAnswer(reply.status, reply.headers, body)
                FailedSend.MayHaveRun(upstream, "the upstream answered ${reply.status}")
            }
            else -> {
                services.crashGuard.recordAnswer(call.suspects)
                answer = WholeAnswer(reply.status, reply.headers, body)
                null
            }
        }
    }
}

/** Adds how the upstream answered, and whether the connection may have held bytes of an earlier answer. */
private fun LogLine.logAnswer(answer: UpstreamReply) {
    put("status", answer.status.toLong())
    put("execution", answer.executionStatus.name.lowercase())
    put("earlier_exchanges", answer.earlierExchanges.toLong())
    (answer.advertisedRate as? AdvertisedRate.Limited)?.let { put("limit_per_second", it.requestsPerSecond.toString()) }
}
