package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.dispatch.SlotOutcome
import figdeck.model.Lane
import figdeck.model.Refusal
import figdeck.model.serving.PromptPart
import figdeck.model.serving.RequestFingerprint
import figdeck.model.serving.SlotRequest
import figdeck.query.serving.FailedSend
import figdeck.query.serving.NextStep
import figdeck.query.serving.NotRunCause
import figdeck.query.serving.SendHistory
import figdeck.query.serving.failedUpstreams
import figdeck.query.serving.homesOf
import figdeck.query.serving.nextStep
import figdeck.query.serving.poolFor
import figdeck.query.serving.possibleRuns
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long before the deadline the work on an answer stops. */
private val ANSWER_MARGIN = 20.milliseconds

/** The fraction of the objective that a request may wait for a slot. The rest is needed for the first event. */
private const val QUEUE_FRACTION = 0.6

/** The delay between two slot requests for a stream that has started. */
private val RESUME_RETRY_DELAY = 50.milliseconds

/** Serves one request. Returns a refusal to send to the caller, or [Unit] if the request was answered. */
internal suspend fun OnlineServices.serveOnline(
    call: OnlineCall,
    forward: Forward,
    caller: CallerChannel,
): Either<Refusal, Unit> {
    val held = refusalOfHold(call)?.left()
    val allowed = held ?: call.access.team?.let { limits.takeToken(it, call.id) } ?: Unit.right()
    return allowed.fold(
        { it.left() },
        { UpstreamSender(this, call, forward, caller).use { OnlineRequest(this, call, it).serve() } },
    )
}

/** The refusal of a call that must not be sent to upstreams; null if it may be sent. */
private fun OnlineServices.refusalOfHold(call: OnlineCall): Refusal? = crashGuard.holdOf(call.suspects)?.let { hold ->
    when (val suspect = hold.suspect) {
        is PromptPart -> Refusal.PromptQuarantined(suspect.id, hold.timeLeft)
        is RequestFingerprint -> Refusal.RequestQuarantined(hold.timeLeft)
    }
}

/** One request while it is served, across all upstreams that it is sent to. */
private class OnlineRequest(
    private val services: OnlineServices,
    private val call: OnlineCall,
    private val sender: UpstreamSender,
) {
    private val route = call.access.route
    private var history = SendHistory()
    private var isSending = false

    suspend fun serve(): Either<Refusal, Unit> {
        val limit = call.timeLeft(services.clock())
        return try {
            withTimeoutOrNull((limit - ANSWER_MARGIN).coerceAtLeast(1.milliseconds)) {
                services.calls.track { sendUntilServed() }
            } ?: unfinished(limit, Refusal.Overloaded("this route", 1.seconds))
        } catch (_: CallEndedException) {
            unfinished(services.clock() - call.receivedAt, Refusal.Draining)
        }
    }

    private suspend fun sendUntilServed(): Either<Refusal, Unit> {
        var result: Either<Refusal, Unit>? = null
        while (result == null) {
            result = refusalBeforeStart()?.let { refuse(it) } ?: acquireAndSend()
        }
        return result
    }

    /** A request whose stream has started is not held: an upstream has answered it. */
    private fun refusalBeforeStart(): Refusal? =
        if (history.hasStarted) null else services.refusalOfHold(call)

    private suspend fun acquireAndSend(): Either<Refusal, Unit>? = services.slots.acquire(
        services.slotRequest(call, history),
        call.expectedWeights,
    ).fold(
        { refusal -> onSlotRefused(refusal) },
        { permit -> useSlot(permit) },
    )

    /** Sends the request, unless it or its prompt was quarantined while it waited for the slot. */
    private suspend fun useSlot(permit: HeldPermit): Either<Refusal, Unit>? {
        val refusal = refusalBeforeStart()
        return when {
            refusal != null -> {
                services.slots.release(permit, SlotOutcome.ABANDONED, 0)
                refuse(refusal)
            }
            sendTo(permit) -> sender.deliverAnswer().right()
            else -> handleFailure()
        }
    }

    /**
     * A started stream is worth more than a new request, so it keeps requesting a slot instead of being refused. It
     * breaks off if no upstream has its weights, since none is likely to get them back.
     */
    private suspend fun onSlotRefused(refusal: Refusal): Either<Refusal, Unit>? {
        if (history.hasStarted) {
            if (refusal is Refusal.WeightsUnavailable) throw brokenOff(call, refusal.message)
            delay(RESUME_RETRY_DELAY)
            return null
        }
        if (refusal is Refusal.NoHomeUpstream) {
            services.countHomeRefusal()
        }
        services.log.note("no_slot", call.id) {
            put("pool", route.poolFor(call.id).value)
            put("reason", refusal.message)
            put("after_ms", (services.clock() - call.receivedAt).inWholeMilliseconds)
        }
        return refuse(refusal)
    }

    private suspend fun handleFailure(): Either<Refusal, Unit>? {
        val step = nextStep(route.kind, route.maxAttempts, history, call.expectedWeights)
        services.log.note("next", call.id) {
            put("failure", history.failures.last().reason)
            put("upstream", history.failures.last().upstream.value)
            put("step", step::class.simpleName.orEmpty())
        }
        return when (step) {
            NextStep.SendAgain -> null
            is NextStep.Refuse -> refuse(step.refusal)
            is NextStep.BreakOff -> throw brokenOff(call, step.reason)
        }
    }

    /**
     * Ends the request with [refusal] if no upstream may have run it. Otherwise forwards the error response of the
     * upstream, or refuses the request because the upstream was lost.
     */
    private suspend fun refuse(refusal: Refusal): Either<Refusal, Unit> {
        val answer = sender.lastErrorResponse
        return when {
            answer != null -> sender.deliver(answer).right()
            history.possibleRuns > 0 -> Refusal.UpstreamLost(history.failures.last().upstream).left()
            else -> refusal.left()
        }
    }

    /** Ends the request after [limit] without a whole answer, with [notRun] if no upstream may have run it. */
    private fun unfinished(limit: Duration, notRun: Refusal): Either<Refusal, Unit> = when {
        sender.hasAnswerBegun -> throw IOException("the answer of ${call.id} was not whole after $limit")
        isSending || history.possibleRuns > 0 -> Refusal.AnswerTimeout(limit).left()
        else -> notRun.left()
    }

    /** Sends the request to the upstream of [permit] and returns whether it answered; a stream was relayed then. */
    private suspend fun sendTo(permit: HeldPermit): Boolean {
        var use = SlotOutcome.ABANDONED
        try {
            isSending = true
            val failure = sender.send(permit, history)
            isSending = false
            use = slotOutcomeOf(failure)
            history = SendHistory(history.failures + listOfNotNull(failure), sender.stream.hasStarted)
            return failure == null
        } finally {
            services.slots.release(permit, use, call.cost, sender.usageMeter)
        }
    }
}

private fun brokenOff(call: OnlineCall, reason: String) = IOException("the answer of ${call.id} broke off: $reason")

private fun OnlineServices.slotRequest(call: OnlineCall, history: SendHistory): SlotRequest {
    val route = call.access.route
    val elapsed = clock() - call.receivedAt
    val maxQueueTime = route.latencyObjective * QUEUE_FRACTION
    return SlotRequest(
        ticket = random.nextLong(),
        from = slots.self,
        pool = route.poolFor(call.id),
        team = call.access.team?.id,
        lane = Lane.ONLINE,
        cost = call.cost,
        affinity = call.affinity,
        excluded = history.failedUpstreams,
        maxWait = (maxQueueTime - elapsed).coerceAtLeast(maxQueueTime / 2),
        features = call.features,
        homes = homesOf(route, call.access.team),
    )
}

/** The result to report for the upstream's slot after a send that ended with [failure]. */
private fun slotOutcomeOf(failure: FailedSend?): SlotOutcome = when (failure) {
    null -> SlotOutcome.ANSWERED
    is FailedSend.MayHaveRun -> SlotOutcome.FAILED
    is FailedSend.NotRun -> when (failure.cause) {
        NotRunCause.FULL, NotRunCause.OTHER_WEIGHTS -> SlotOutcome.ABANDONED
        NotRunCause.UNREACHABLE -> SlotOutcome.FAILED
        NotRunCause.REPLACED -> SlotOutcome.GONE
    }
}
