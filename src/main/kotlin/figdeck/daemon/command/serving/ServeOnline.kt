package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.dispatch.UseResult
import figdeck.http.client.ExchangeFailure
import figdeck.http.readAll
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.model.Lane
import figdeck.model.Refusal
import figdeck.model.serving.SlotAsk
import figdeck.model.serving.isRepeatable
import figdeck.model.serving.isStream
import figdeck.query.serving.FailedSend
import figdeck.query.serving.NextStep
import figdeck.query.serving.SendHistory
import figdeck.query.serving.nextStep
import figdeck.query.serving.poolFor
import figdeck.query.serving.runs
import figdeck.query.serving.tried
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The longest answer that is held back until it is whole. */
private const val MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** How long before the final answer is due the work for it ends. */
private val ANSWER_MARGIN = 20.milliseconds

/** The part of the objective that a request may wait for a slot; it needs the rest for its first event. */
private const val QUEUE_SHARE = 0.6

/** The shortest silence after which a request that may be repeated goes to another upstream. */
private val SHORTEST_STALL = 700.milliseconds

/** How many objectives of silence do the same. */
private const val STALL_OBJECTIVES = 2

/** The pause between two questions for a slot for a stream that has begun. */
private val RESUME_PAUSE = 50.milliseconds

/** What the serving of requests needs. */
internal data class OnlineServices(
    val clock: Clock,
    val limits: TeamLimits,
    val slots: PoolSlots,
    val random: Random,
    val log: DecisionLog,
)

/** Serves one request; the result is a refusal for the caller, or nothing when it was answered. */
internal suspend fun OnlineServices.serveOnline(
    call: OnlineCall,
    forward: Forward,
    caller: CallerChannel,
): Either<Refusal, Unit> {
    val taken = call.access.team?.let { limits.take(it) } ?: Unit.right()
    return taken.fold(
        { it.left() },
        { ServeOnline(this, call, forward, caller).serve() },
    )
}

/** The serving of one request, over all upstreams that it is sent to. */
private class ServeOnline(
    private val services: OnlineServices,
    private val call: OnlineCall,
    private val forward: Forward,
    private val caller: CallerChannel,
) {
    private val route = call.access.route
    private val stream = StreamProgress(call.lastEventId)
    private var failures = listOf<FailedSend>()
    private var failedAnswer: WholeAnswer? = null

    suspend fun serve(): Either<Refusal, Unit> {
        val limit = minOf(call.deadline - services.clock(), call.receivedAt + route.timeout - services.clock())
        return withTimeoutOrNull((limit - ANSWER_MARGIN).coerceAtLeast(1.milliseconds)) { sendUntilServed() }
            ?: timedOut(limit)
    }

    private suspend fun sendUntilServed(): Either<Refusal, Unit> {
        var result: Either<Refusal, Unit>? = null
        while (result == null) {
            result = services.slots.acquire(ask()).fold(
                { refusal -> if (stream.hasStarted) waitForSlot() else refuse(refusal) },
                { permit -> if (sendTo(permit)) Unit.right() else next() },
            )
        }
        return result
    }

    /** A stream that has begun is worth more than a new one, so it keeps asking. */
    private suspend fun waitForSlot(): Either<Refusal, Unit>? {
        delay(RESUME_PAUSE)
        return null
    }

    private suspend fun next(): Either<Refusal, Unit>? {
        val step = nextStep(route.kind, route.maxAttempts, SendHistory(failures, stream.hasStarted))
        services.log.note("next", call.id) {
            put("failure", failures.last().reason)
            put("upstream", failures.last().upstream.value)
            put("step", step::class.simpleName.orEmpty())
        }
        return when (step) {
            NextStep.SendAgain -> null
            is NextStep.Refuse -> refuse(step.refusal)
            is NextStep.BreakOff -> throw IOException("the answer of ${call.id} broke off: ${step.reason}")
        }
    }

    /** Ends with [refusal], unless an upstream ran the request and its own failure can be told. */
    private suspend fun refuse(refusal: Refusal): Either<Refusal, Unit> {
        val answer = failedAnswer
        return when {
            answer != null -> caller.full(answer.status, answer.headers, answer.body).right()
            failures.any { it is FailedSend.MayHaveRun } -> Refusal.UpstreamLost(failures.last().upstream).left()
            else -> refusal.left()
        }
    }

    private fun timedOut(limit: Duration): Either<Refusal, Unit> {
        if (stream.hasStarted) {
            throw IOException("the answer of ${call.id} was not whole after $limit")
        }
        val mayHaveRun = sending || SendHistory(failures).runs > 0
        return if (mayHaveRun) Refusal.AnswerTimeout(limit).left() else Refusal.Overloaded("this route", 1.seconds).left()
    }

    private var sending = false

    private fun ask(): SlotAsk {
        val used = services.clock() - call.receivedAt
        val queueable = route.objective * QUEUE_SHARE
        return SlotAsk(
            ticket = services.random.nextLong(),
            from = services.slots.self,
            pool = route.poolFor(call.id),
            team = call.access.team?.id,
            lane = Lane.ONLINE,
            cost = call.cost,
            affinity = call.affinity,
            without = SendHistory(failures).tried,
            patience = (queueable - used).coerceAtLeast(queueable / 2),
        )
    }

    /** Sends the request to the upstream of [permit] and tells whether the caller got its answer. */
    private suspend fun sendTo(permit: HeldPermit): Boolean {
        var use = UseResult.ABANDONED
        try {
            sending = true
            val failure = exchange(permit)
            sending = failure is FailedSend.MayHaveRun
            use = if (failure is FailedSend.MayHaveRun) UseResult.FAILED else UseResult.ANSWERED
            failures = failures + listOfNotNull(failure)
            return failure == null
        } finally {
            services.slots.release(permit, use, call.cost)
        }
    }

    private suspend fun exchange(permit: HeldPermit): FailedSend? {
        var failure: FailedSend? = null
        val sentAt = services.clock()
        val result = forward(orderFor(permit)) { reply -> failure = receive(permit, reply) }
        val upstream = permit.upstream.id
        services.log.note("sent", call.id) {
            put("upstream", upstream.value)
            put("owner", permit.owner?.host?.value ?: "self")
            put("waited_ms", (sentAt - call.receivedAt).inWholeMilliseconds)
            put("took_ms", (services.clock() - sentAt).inWholeMilliseconds)
            put("failure", failure?.reason ?: result.leftOrNull()?.reason ?: "none")
        }
        return result.fold(
            { lost ->
                when (lost) {
                    is ExchangeFailure.NotSent -> FailedSend.NotRun(upstream, lost.reason)
                    is ExchangeFailure.Lost -> FailedSend.MayHaveRun(upstream, lost.reason)
                }
            },
            { failure },
        )
    }

    private fun orderFor(permit: HeldPermit): SendOrder {
        val now = services.clock()
        val left = minOf(call.deadline - now, call.receivedAt + route.timeout - now).coerceAtLeast(1.milliseconds)
        val canRepeat = route.kind.isRepeatable && SendHistory(failures).runs + 1 < route.maxAttempts
        val stall = if (canRepeat) maxOf(SHORTEST_STALL, route.objective * STALL_OBJECTIVES) else left
        return SendOrder(
            upstream = permit.upstream,
            timeLeft = left,
            resumeAfter = stream.lastEventId,
            headTimeout = minOf(stall, left),
            idleTimeout = minOf(stall, left),
            freshConnection = !route.kind.isRepeatable,
        )
    }

    private suspend fun receive(permit: HeldPermit, reply: UpstreamReply): FailedSend? {
        val upstream = permit.upstream.id
        return when (reply.disposition) {
            Disposition.NOT_RUN -> FailedSend.NotRun(upstream, "the upstream answered ${reply.status} without running it")
            Disposition.FOREIGN -> FailedSend.MayHaveRun(upstream, "the answer belongs to no request of this connection")
            Disposition.RAN -> when {
                reply.isSuccess && route.kind.isStream -> relay(permit, reply)
                else -> deliver(permit, reply)
            }
        }
    }

    private suspend fun relay(permit: HeldPermit, reply: UpstreamReply): FailedSend? =
        when (val result = stream.relay(reply, caller)) {
            RelayResult.Whole -> null
            is RelayResult.Broken -> FailedSend.MayHaveRun(permit.upstream.id, result.reason)
        }

    private suspend fun deliver(permit: HeldPermit, reply: UpstreamReply): FailedSend? {
        val body = reply.body.readAll(MAX_ANSWER_BYTES).getOrNull()
        val upstream = permit.upstream.id
        return when {
            body == null -> FailedSend.MayHaveRun(upstream, "the answer is longer than $MAX_ANSWER_BYTES bytes")
            reply.status >= FIRST_SERVER_ERROR -> {
                failedAnswer = WholeAnswer(reply.status, reply.headers, body)
                FailedSend.MayHaveRun(upstream, "the upstream answered ${reply.status}")
            }
            else -> {
                caller.full(reply.status, reply.headers, body)
                null
            }
        }
    }
}

private const val FIRST_SERVER_ERROR = 500

private class WholeAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteArray,
)
