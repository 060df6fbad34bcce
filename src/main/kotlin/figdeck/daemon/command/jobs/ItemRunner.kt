package figdeck.daemon.command.jobs

import figdeck.command.dispatch.SlotOutcome
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.HeldPermit
import figdeck.daemon.command.serving.RelayResult
import figdeck.daemon.command.serving.SendOptions
import figdeck.daemon.command.serving.SlotUsageMeter
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.ending
import figdeck.daemon.command.serving.isSuccess
import figdeck.daemon.command.serving.misdirection
import figdeck.daemon.command.serving.recordReply
import figdeck.http.client.ExchangeFailure
import figdeck.model.Clock
import figdeck.model.Lane
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.UpstreamStart
import figdeck.query.serving.SendEnding
import figdeck.query.serving.poolFor
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a request for a slot waits before it is repeated. */
private val SLOT_WAIT_LIMIT = 1_500.milliseconds
private val FAILURE_RETRY_DELAY = 100.milliseconds

/** How long an item waits after it has found no slot. */
internal val SLOT_RETRY_DELAY: Duration = 150.milliseconds
private val MAX_LOSS_DELAY = 2.seconds
private const val MAX_LOSS_DOUBLINGS = 10

/** How long an upstream may complete no event before the item continues at another one. */
private val STALL_TIMEOUT = 2.seconds

/** The longest time that one upstream may take for an item. */
private val SEND_TIMEOUT = 60.seconds
private const val UNPROCESSABLE = 422
private const val FIRST_SERVER_ERROR = 500

/** The result of running an item at one upstream. */
private sealed interface AttemptResult {
    data object Whole : AttemptResult

    /** The upstream reported that the item can never be processed. */
    data object Impossible : AttemptResult

    data class Failed(val reason: String) : AttemptResult

    /**
     * The item continues elsewhere and no failure is counted for it.
     *
     * @property use the result for the upstream's slot.
     */
    data class Interrupted(
        val reason: String,
        val use: SlotOutcome,
        val ending: SendEnding = SendEnding.OTHER,
    ) : AttemptResult
}

/** Runs one item, at as many upstreams as it takes. */
internal class ItemRunner(
    private val services: JobServices,
    private val record: JobRecord,
    private val item: JobItem,
    private val state: ItemState,
) {
    private val output = state.output
    private val sharedParts = services.sharedParts(item)
    private val expectedWeights = services.expectedWeights(item)
    private val quarantine = ItemQuarantine(services.crashGuard, sharedParts)

    /** Rows that earlier versions stored may hold such items. */
    private val sendFault = services.sendFault(item)?.also { fault ->
        services.log.note("item_not_sendable", item.id) {
            put("job", record.id.value)
            put("reason", fault)
        }
    }

    /** Runs the item until its output is complete, it is given up or held back, or no slot is found for it. */
    suspend fun run(): ItemRun {
        var end: ItemRun? = null
        while (end == null) {
            end = when (val decision = services.decideItem(record) { route -> holdOfItem(route) }) {
                is ItemDecision.Hold -> ItemRun.Held(decision.hold)
                is ItemDecision.GiveUp -> ItemRun.Finished(services.giveUp(record, state, decision.reason))
                is ItemDecision.Run -> tryOnce(decision.route)
            }
        }
        return end
    }

    private fun holdOfItem(route: ServingRoute): ItemHold? =
        if (sendFault != null) {
            ItemHold.NotProcessable
        } else {
            quarantine.holdAt(services.clock())
                ?: services.control.snapshot.holdByLimits(record, route, route.poolFor(item.id))
                ?: expectedWeights?.let { services.holdByWeights(record, route, route.poolFor(item.id), it) }
        }

    /** Runs the item at one upstream. Returns null if it is to be run again at once. */
    private suspend fun tryOnce(route: ServingRoute): ItemRun? =
        services.slots.acquire(newSlotRequest(route), expectedWeights).fold(
            { output.withoutSlot() },
            { permit ->
                if (quarantine.endWait()) {
                    resultOf(runWithPermit(permit, route), permit, route)?.let { ItemRun.Finished(it) }
                } else {
                    services.slots.release(permit, SlotOutcome.ABANDONED, 0)
                    null
                }
            },
        )

    private suspend fun resultOf(attemptResult: AttemptResult, permit: HeldPermit, route: ServingRoute): JobResult? {
        if (attemptResult == AttemptResult.Whole) {
            services.log.note("item_completed", item.id) {
                put("job", record.id.value)
                put("upstream", permit.upstream.id.value)
            }
        } else {
            services.log.note("item_stopped", item.id) {
                put("job", record.id.value)
                put("upstream", permit.upstream.id.value)
                put("events", output.progress.events.size.toLong())
                put("end", attemptResult.toString())
                put("shared_parts", sharedParts.joinToString(" "))
            }
        }
        return when (attemptResult) {
            AttemptResult.Whole -> {
                services.timeEstimator.recordCompletedItem(output.progress.events.size)
                JobResult(item.id, isComplete = true, output = output.text)
            }
            AttemptResult.Impossible -> services.giveUp(record, state, "the upstream can't process the item")
            is AttemptResult.Interrupted -> {
                if (attemptResult.ending == SendEnding.LOST_BEFORE_ANSWER) onLoss(permit.start)
                null
            }
            is AttemptResult.Failed -> {
                state.failures++
                delay(FAILURE_RETRY_DELAY)
                if (state.failures >= route.maxAttempts) services.giveUp(record, state, attemptResult.reason) else null
            }
        }
    }

    /** Reports the loss of [upstream] and waits longer after each loss, as others may be lost for the same reason. */
    private suspend fun onLoss(upstream: UpstreamStart) {
        services.crashGuard.recordLoss(item.id, upstream, sharedParts)
        delay((FAILURE_RETRY_DELAY * (1 shl state.losses)).coerceAtMost(MAX_LOSS_DELAY))
        state.losses = (state.losses + 1).coerceAtMost(MAX_LOSS_DOUBLINGS)
    }

    private fun newSlotRequest(route: ServingRoute): SlotRequest = SlotRequest(
        ticket = services.random.nextLong(),
        from = services.slots.self,
        pool = route.poolFor(item.id),
        team = record.team,
        lane = Lane.BATCH,
        cost = item.tokens.toInt(),
        affinity = null,
        excluded = emptySet(),
        maxWait = SLOT_WAIT_LIMIT,
        age = record.age(services.clock()),
        willMissDeadline = willMissDeadline(route),
        slotTimeUsed = state.spent,
        features = services.features(route.name, item),
        homes = services.control.snapshot.homesOf(record, route),
    )

    private fun willMissDeadline(route: ServingRoute): Boolean {
        val due = route.batch?.dueWithin ?: return false
        return record.age(services.clock()) + services.timeEstimator.estimateTimeLeft(output.progress.events.size) > due
    }

    private suspend fun runWithPermit(permit: HeldPermit, route: ServingRoute): AttemptResult {
        var use = SlotOutcome.ABANDONED
        val startedAt = services.clock()
        val meter = SlotUsageMeter(startedAt, isResumed = output.progress.lastEventId != null)
        try {
            val before = output.progress.events.size
            val attemptResult = sendUntilRevoked(permit, route, meter)
            val took = services.clock() - startedAt
            services.timeEstimator.recordRun(output.progress.events.size - before, took)
            state.spent += if (output.progress.events.size > before) took else Duration.ZERO
            use = if (attemptResult is AttemptResult.Interrupted) attemptResult.use else SlotOutcome.ANSWERED
            return attemptResult
        } finally {
            services.slots.release(permit, use, item.tokens.toInt(), meter)
        }
    }

    private suspend fun sendUntilRevoked(
        permit: HeldPermit,
        route: ServingRoute,
        meter: SlotUsageMeter,
    ): AttemptResult = coroutineScope {
        val sending = async { send(permit, route, meter) }
        select {
            sending.onAwait { it }
            permit.revoked.onAwait {
                sending.cancel()
                AttemptResult.Interrupted("the slot was revoked", SlotOutcome.ABANDONED)
            }
        }
    }

    private suspend fun send(permit: HeldPermit, route: ServingRoute, meter: SlotUsageMeter): AttemptResult {
        val options = SendOptions(
            upstream = permit.upstream,
            timeLeft = SEND_TIMEOUT,
            resumeAfter = output.progress.lastEventId,
            headTimeout = STALL_TIMEOUT,
            idleTimeout = STALL_TIMEOUT,
            freshConnection = false,
        )
        var attemptResult: AttemptResult = AttemptResult.Interrupted("no response", SlotOutcome.FAILED)
        val before = output.progress.events.size
        val sentAt = services.clock()
        val result = services.forward(
            ItemCall(item, route, record.team),
            options
        ) { reply ->
            services.slots.recordReply(permit, reply, sentAt, item.id, services.log)
            reply.executionStatus.misdirection?.let { services.countMisdirected(it) }
            attemptResult = output.receive(reply, services.clock, meter) {
                services.crashGuard.recordAnswer(sharedParts)
            }
        }
        val hasBegun = output.progress.events.size > before
        return result.fold(
            { lost ->
                if (lost is ExchangeFailure.NotSent) meter.onNotRun()
                AttemptResult.Interrupted(lost.reason, slotOutcomeOf(lost), lost.ending(hasBegun))
            },
            { attemptResult },
        )
    }
}

/**
 * An item that has no output yet lets others run meanwhile. One that has some is kept, so that the memory for
 * unfinished outputs stays bounded and started work is finished first.
 */
private suspend fun ItemOutput.withoutSlot(): ItemRun? = if (progress.events.isEmpty()) {
    ItemRun.NoSlot
} else {
    delay(SLOT_RETRY_DELAY)
    null
}

private fun slotOutcomeOf(lost: ExchangeFailure): SlotOutcome =
    if (lost is ExchangeFailure.NotSent && !lost.isPeerAtFault) SlotOutcome.ABANDONED else SlotOutcome.FAILED

private suspend fun ItemOutput.receive(
    reply: UpstreamReply,
    clock: Clock,
    meter: SlotUsageMeter,
    onBegun: suspend () -> Unit,
): AttemptResult = when (reply.executionStatus) {
    ExecutionStatus.UNVERIFIED -> AttemptResult.Interrupted("the response matches no request", SlotOutcome.FAILED)
    ExecutionStatus.WRONG_UPSTREAM -> {
        meter.onNotRun()
        AttemptResult.Interrupted("another upstream answered", SlotOutcome.GONE)
    }
    ExecutionStatus.OTHER_WEIGHTS -> {
        meter.onNotRun()
        delay(FAILURE_RETRY_DELAY)
        AttemptResult.Interrupted("the upstream has weights ${reply.weights}", SlotOutcome.ABANDONED)
    }
    ExecutionStatus.NOT_RUN -> {
        meter.onNotRun()
        delay(FAILURE_RETRY_DELAY)
        AttemptResult.Interrupted("the upstream did not run it", SlotOutcome.ABANDONED)
    }
    ExecutionStatus.RAN -> when {
        reply.isSuccess -> collectEvents(reply, clock, meter, onBegun)
        reply.status == UNPROCESSABLE -> AttemptResult.Impossible
        reply.status >= FIRST_SERVER_ERROR -> AttemptResult.Failed("the upstream answered ${reply.status}")
        else -> AttemptResult.Interrupted("the upstream answered ${reply.status}", SlotOutcome.FAILED)
    }
}

private suspend fun ItemOutput.collectEvents(
    reply: UpstreamReply,
    clock: Clock,
    meter: SlotUsageMeter,
    onBegun: suspend () -> Unit,
): AttemptResult {
    val before = progress.events.size
    return when (val result = collect(reply, STALL_TIMEOUT, clock, meter, onBegun)) {
        RelayResult.Complete -> {
            meter.onComplete()
            AttemptResult.Whole
        }
        is RelayResult.Broken ->
            AttemptResult.Interrupted(result.reason, SlotOutcome.FAILED, result.ending(progress.events.size > before))
    }
}
