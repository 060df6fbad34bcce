package figdeck.daemon.command.jobs

import figdeck.command.dispatch.SlotOutcome
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.HeldPermit
import figdeck.daemon.command.serving.RelayResult
import figdeck.daemon.command.serving.SendOptions
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.ending
import figdeck.daemon.command.serving.isSuccess
import figdeck.model.Clock
import figdeck.model.Lane
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.SlotRequest
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
private val SLOT_RETRY_DELAY = 150.milliseconds
private val FAILURE_RETRY_DELAY = 100.milliseconds

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
    private val output: ItemOutput,
) {
    private var failures = 0
    private var spent = Duration.ZERO

    /** Runs the item until its output is complete or it is given up. */
    suspend fun run(): JobResult {
        var result: JobResult? = null
        while (result == null) {
            val route = services.control.snapshot.index?.routesByName?.get(record.route)
            result = if (route == null || isExpired(route)) giveUp("expired or route removed") else tryOnce(route)
        }
        return result
    }

    private fun isExpired(route: ServingRoute): Boolean {
        val limit = route.batch?.abandonAfter ?: return true
        return limit > Duration.ZERO && record.age(services.clock()) > limit
    }

    private suspend fun tryOnce(route: ServingRoute): JobResult? = services.slots.acquire(newSlotRequest(route)).fold(
        {
            delay(SLOT_RETRY_DELAY)
            null
        },
        { permit -> resultOf(runWithPermit(permit, route), permit, route) },
    )

    private suspend fun resultOf(attemptResult: AttemptResult, permit: HeldPermit, route: ServingRoute): JobResult? {
        if (attemptResult != AttemptResult.Whole) {
            services.log.note("item_stopped", item.id) {
                put("job", record.id.value)
                put("upstream", permit.upstream.id.value)
                put("events", output.progress.events.size.toLong())
                put("end", attemptResult.toString())
                put("shared_parts", services.sharedParts(item).joinToString(" "))
            }
        }
        return when (attemptResult) {
            AttemptResult.Whole -> {
                services.timeEstimator.recordCompletedItem(output.progress.events.size)
                JobResult(item.id, isComplete = true, output = output.text)
            }
            AttemptResult.Impossible -> giveUp("the upstream can't process the item")
            is AttemptResult.Interrupted -> null
            is AttemptResult.Failed -> {
                failures++
                delay(FAILURE_RETRY_DELAY)
                if (failures >= route.maxAttempts) giveUp(attemptResult.reason) else null
            }
        }
    }

    private fun giveUp(reason: String): JobResult {
        services.log.note("item_given_up", item.id) {
            put("job", record.id.value)
            put("failures", failures.toLong())
            put("reason", reason)
        }
        return JobResult(item.id, isComplete = false, output = "")
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
        slotTimeUsed = spent,
    )

    private fun willMissDeadline(route: ServingRoute): Boolean {
        val due = route.batch?.dueWithin ?: return false
        return record.age(services.clock()) + services.timeEstimator.estimateTimeLeft(output.progress.events.size) > due
    }

    private suspend fun runWithPermit(permit: HeldPermit, route: ServingRoute): AttemptResult {
        var use = SlotOutcome.ABANDONED
        try {
            val startedAt = services.clock()
            val before = output.progress.events.size
            val attemptResult = sendUntilRevoked(permit, route)
            val took = services.clock() - startedAt
            services.timeEstimator.recordRun(output.progress.events.size - before, took)
            spent += if (output.progress.events.size > before) took else Duration.ZERO
            use = if (attemptResult is AttemptResult.Interrupted) attemptResult.use else SlotOutcome.ANSWERED
            return attemptResult
        } finally {
            services.slots.release(permit, use, item.tokens.toInt())
        }
    }

    private suspend fun sendUntilRevoked(permit: HeldPermit, route: ServingRoute): AttemptResult = coroutineScope {
        val sending = async { send(permit, route) }
        select {
            sending.onAwait { it }
            permit.revoked.onAwait {
                sending.cancel()
                AttemptResult.Interrupted("the slot was revoked", SlotOutcome.ABANDONED)
            }
        }
    }

    private suspend fun send(permit: HeldPermit, route: ServingRoute): AttemptResult {
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
        val result = services.forward(
            ItemCall(item, route, record.team),
            options
        ) { reply -> attemptResult = output.receive(reply, services.clock) }
        return result.fold(
            {
                AttemptResult.Interrupted(
                    it.reason,
                    SlotOutcome.FAILED,
                    it.ending(output.progress.events.size > before)
                )
            },
            { attemptResult },
        )
    }
}

private suspend fun ItemOutput.receive(
    reply: UpstreamReply,
    clock: Clock,
): AttemptResult = when (reply.executionStatus) {
    ExecutionStatus.UNVERIFIED -> AttemptResult.Interrupted("the response matches no request", SlotOutcome.FAILED)
    ExecutionStatus.WRONG_UPSTREAM -> AttemptResult.Interrupted("another upstream answered", SlotOutcome.GONE)
    ExecutionStatus.NOT_RUN -> {
        delay(FAILURE_RETRY_DELAY)
        AttemptResult.Interrupted("the upstream did not run it", SlotOutcome.ABANDONED)
    }
    ExecutionStatus.RAN -> when {
        reply.isSuccess -> collectEvents(reply, clock)
        reply.status == UNPROCESSABLE -> AttemptResult.Impossible
        reply.status >= FIRST_SERVER_ERROR -> AttemptResult.Failed("the upstream answered ${reply.status}")
        else -> AttemptResult.Interrupted("the upstream answered ${reply.status}", SlotOutcome.FAILED)
    }
}

private suspend fun ItemOutput.collectEvents(reply: UpstreamReply, clock: Clock): AttemptResult {
    val before = progress.events.size
    return when (val result = collect(reply, STALL_TIMEOUT, clock)) {
        RelayResult.Complete -> AttemptResult.Whole
        is RelayResult.Broken ->
            AttemptResult.Interrupted(result.reason, SlotOutcome.FAILED, result.ending(progress.events.size > before))
    }
}
