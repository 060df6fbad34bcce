package figdeck.daemon.command.jobs

import figdeck.command.dispatch.SlotOutcome
import figdeck.daemon.command.serving.Disposition
import figdeck.daemon.command.serving.HeldPermit
import figdeck.daemon.command.serving.SendOrder
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.isSuccess
import figdeck.model.Lane
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.SlotRequest
import figdeck.query.serving.poolFor
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long one question for a slot waits before it is put again. */
private val SLOT_PATIENCE = 1_500.milliseconds
private val SLOT_PAUSE = 150.milliseconds
private val FAILURE_PAUSE = 100.milliseconds

/** How long an upstream may be silent until the item goes on elsewhere. */
private val STALL = 2.seconds

/** The longest time that one upstream is given for an item. */
private val SEND_LIMIT = 60.seconds
private const val IMPOSSIBLE = 422
private const val FIRST_SERVER_ERROR = 500

/** How one run of an item at an upstream ended. */
private sealed interface RunEnd {
    data object Whole : RunEnd

    /** The upstream says that the item can never be done. */
    data object Impossible : RunEnd

    data class Failed(val reason: String) : RunEnd

    /** It goes on elsewhere and counts as no failure of the item; [use] is what it says of the upstream. */
    data class Interrupted(
        val reason: String,
        val use: SlotOutcome,
    ) : RunEnd
}

/** The running of one item, over all upstreams that it is sent to. */
internal class RunJobItem(
    private val services: JobServices,
    private val record: JobRecord,
    private val item: JobItem,
    private val output: ItemOutput,
) {
    private var failures = 0
    private var spent = Duration.ZERO

    /** Runs the item until it is whole or has to be given up. */
    suspend fun run(): JobResult {
        var result: JobResult? = null
        while (result == null) {
            val route = services.control.snapshot.index?.routesByName?.get(record.route)
            result = if (route == null || isOver(route)) givenUp("its time or route is over") else tryOnce(route)
        }
        return result
    }

    private fun isOver(route: ServingRoute): Boolean {
        val limit = route.batch?.abandonAfter ?: return true
        return limit > Duration.ZERO && record.age(services.clock()) > limit
    }

    private suspend fun tryOnce(route: ServingRoute): JobResult? = services.slots.acquire(ask(route)).fold(
        {
            delay(SLOT_PAUSE)
            null
        },
        { permit -> resultOf(runAt(permit, route), permit, route) },
    )

    private suspend fun resultOf(end: RunEnd, permit: HeldPermit, route: ServingRoute): JobResult? {
        if (end != RunEnd.Whole) {
            services.log.note("item_stopped", item.id) {
                put("job", record.id.value)
                put("upstream", permit.upstream.id.value)
                put("events", output.progress.events.size.toLong())
                put("end", end.toString())
            }
        }
        return when (end) {
            RunEnd.Whole -> {
                services.pace.noteWhole(output.progress.events.size)
                JobResult(item.id, isComplete = true, output = output.text)
            }
            RunEnd.Impossible -> givenUp("the upstream says that it is impossible")
            is RunEnd.Interrupted -> null
            is RunEnd.Failed -> {
                failures++
                delay(FAILURE_PAUSE)
                if (failures >= route.maxAttempts) givenUp(end.reason) else null
            }
        }
    }

    private fun givenUp(reason: String): JobResult {
        services.log.note("item_given_up", item.id) {
            put("job", record.id.value)
            put("failures", failures.toLong())
            put("reason", reason)
        }
        return JobResult(item.id, isComplete = false, output = "")
    }

    private fun ask(route: ServingRoute): SlotRequest = SlotRequest(
        ticket = services.random.nextLong(),
        from = services.slots.self,
        pool = route.poolFor(item.id),
        team = record.team,
        lane = Lane.BATCH,
        cost = item.tokens.toInt(),
        affinity = null,
        excluded = emptySet(),
        maxWait = SLOT_PATIENCE,
        age = record.age(services.clock()),
        willMissDeadline = isTardy(route),
        slotTimeUsed = spent,
    )

    private fun isTardy(route: ServingRoute): Boolean {
        val due = route.batch?.dueWithin ?: return false
        return record.age(services.clock()) + services.pace.timeLeft(output.progress.events.size) > due
    }

    private suspend fun runAt(permit: HeldPermit, route: ServingRoute): RunEnd {
        var use = SlotOutcome.ABANDONED
        try {
            val startedAt = services.clock()
            val before = output.progress.events.size
            val end = untilRevoked(permit, route)
            val took = services.clock() - startedAt
            services.pace.noteRun(output.progress.events.size - before, took)
            spent += if (output.progress.events.size > before) took else Duration.ZERO
            use = if (end is RunEnd.Interrupted) end.use else SlotOutcome.ANSWERED
            return end
        } finally {
            services.slots.release(permit, use, item.tokens.toInt())
        }
    }

    private suspend fun untilRevoked(permit: HeldPermit, route: ServingRoute): RunEnd = coroutineScope {
        val sending = async { send(permit, route) }
        select {
            sending.onAwait { it }
            permit.revoked.onAwait {
                sending.cancel()
                RunEnd.Interrupted("the slot was revoked", SlotOutcome.ABANDONED)
            }
        }
    }

    private suspend fun send(permit: HeldPermit, route: ServingRoute): RunEnd {
        val order = SendOrder(
            upstream = permit.upstream,
            timeLeft = SEND_LIMIT,
            resumeAfter = output.progress.lastEventId,
            headTimeout = STALL,
            idleTimeout = STALL,
            freshConnection = false,
        )
        var end: RunEnd = RunEnd.Interrupted("no answer", SlotOutcome.FAILED)
        val result = services.forward(
            ItemCall(item, route, record.team),
            order
        ) { reply -> end = output.receive(reply) }
        return result.fold(
            { RunEnd.Interrupted(it.reason, SlotOutcome.FAILED) },
            { end },
        )
    }
}

private suspend fun ItemOutput.receive(reply: UpstreamReply): RunEnd = when (reply.disposition) {
    Disposition.FOREIGN -> RunEnd.Interrupted("the answer belongs to another request", SlotOutcome.FAILED)
    Disposition.OTHER_UPSTREAM -> RunEnd.Interrupted("another upstream answered", SlotOutcome.GONE)
    Disposition.NOT_RUN -> {
        delay(FAILURE_PAUSE)
        RunEnd.Interrupted("the upstream did not run it", SlotOutcome.ABANDONED)
    }
    Disposition.RAN -> when {
        reply.isSuccess -> collect(reply)?.let { RunEnd.Interrupted(it, SlotOutcome.FAILED) } ?: RunEnd.Whole
        reply.status == IMPOSSIBLE -> RunEnd.Impossible
        reply.status >= FIRST_SERVER_ERROR -> RunEnd.Failed("the upstream answered ${reply.status}")
        else -> RunEnd.Interrupted("the upstream answered ${reply.status}", SlotOutcome.FAILED)
    }
}
