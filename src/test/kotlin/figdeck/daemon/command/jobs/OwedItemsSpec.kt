package figdeck.daemon.command.jobs

import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import figdeck.command.serving.jobMemoryLimits
import figdeck.control.serving.adoptPlan
import figdeck.control.serving.updateJobs
import figdeck.daemon.command.serving.CrashGuard
import figdeck.daemon.command.serving.CrashRiskWriter
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.fleetMember
import figdeck.daemon.command.serving.poolMember
import figdeck.http.HttpBody
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.LossCause
import figdeck.http.newHeaders
import figdeck.log.DecisionLog
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.PoolName
import figdeck.model.serving.PromptPart
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flowOf
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val plan = servingPlan {
    version = 1
    route("notes") {
        host = "desk.example"
        prefix = "/notes/"
        kind = CallKind.BATCH
        maxAttempts = 2
        batch = BatchPolicy(18.seconds, 600.seconds, null)
        pool("engines")
    }
}.getOrElse { error(it.toString()) }
private val part = PromptPart("part")
private val jobNames = listOf("job-1", "job-2", "job-3")

/** A host whose upstreams crash under the first [crashes] items that are sent. All prompts have [parts] in common. */
private class CrashingHost(
    crashes: Int,
    private val parts: List<PromptPart> = listOf(part),
) : AutoCloseable {
    private val host = TestHost(fleetMember("host-1"))
    private val left = AtomicInteger(crashes)

    /** How much later it is for the jobs and the guard than for everything else. */
    @Volatile
    var skipped = Duration.ZERO
    private val clock = { systemClock().let { Moment(it.monotonicNanos, it.epochMillis) + skipped } }
    private val jobs = JobHost(host, jobMemoryLimits(heapBytes = 100_000_000)) { services, store ->
        services.copy(
            clock = clock,
            crashGuard = CrashGuard(
                host.control,
                clock,
                CrashRiskWriter(host.control, clock, store),
                Random(4),
                DecisionLog("prompts"),
            ),
            sharedParts = { parts },
            forward = { _, _, use ->
                sentAt += systemClock()
                if (left.getAndDecrement() > 0) {
                    ExchangeFailure.Lost("the upstream crashed", LossCause.CONNECTION_ENDED).left()
                } else {
                    val events = HttpBody(flowOf("id: 1\ndata: word\n\n".encodeToByteArray()))
                    use(UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), events))
                    Unit.right()
                }
            },
        )
    }
    val sentAt = CopyOnWriteArrayList<Moment>()

    suspend fun runJobs(names: List<String> = jobNames, use: suspend () -> Unit) {
        host.control.run { state, _ -> adoptPlan(state, plan) }
        host.control.run { state, now -> updateJobs(state) { it.copy(lastUpdateAt = now) } }
        val upstreams = (1..4).map { poolMember(PoolName("engines"), "e-$it") }
        host.setView(listOf(fleetMember("host-1")), upstreams)
        names.forEach { jobs.submit(it, "notes") }
        jobs.whileRunning(use)
    }

    /** Reports the losses of [count] online requests with [part] at different upstreams. */
    suspend fun loseOnline(count: Int) {
        val guard = jobs.services.crashGuard
        repeat(count) { guard.recordLoss("call-$it", UpstreamStart(UpstreamId("e-${it + 1}"), null), listOf(part)) }
        guard.recordAnswer(listOf(PromptPart("other")))
    }

    fun doneJobs(): Set<String> = jobs.doneJobs()

    override fun close() = host.close()
}

class OwedItemsSpec : DescribeSpec({
    // Guards against items that are not run again, although they are owed, because servers crashed under them.
    describe("items with a part of a prompt that is held back") {
        it("are completed once one of them, sent after a while, is answered") {
            CrashingHost(crashes = 0).use { host ->
                host.loseOnline(3)
                host.runJobs {
                    delay(2.seconds)
                    host.sentAt.size shouldBe 0
                    host.skipped = 30.seconds
                    eventually(10.seconds) { host.doneJobs().size == jobNames.size }
                    host.doneJobs() shouldContainExactlyInAnyOrder jobNames
                }
            }
        }

        // Guards against items that are all sent together, and crash an upstream each.
        it("are sent one at a time, and later each time, while upstreams crash under them") {
            CrashingHost(crashes = 100).use { host ->
                host.loseOnline(3)
                host.runJobs {
                    repeat(60) {
                        host.skipped += 1.seconds
                        delay(100.milliseconds)
                        host.loseOnline(0)
                    }
                    host.sentAt.size shouldBeLessThanOrEqual 3
                }
            }
        }
    }

    // Guards against items that wait ever longer after crashes that they did not cause.
    describe("an item under which nine upstreams crashed, and whose prompt has no part that others share") {
        it("is run again within 3 s each time") {
            CrashingHost(crashes = 9, parts = emptyList()).use { host ->
                host.runJobs(jobNames.take(1)) {
                    eventually(40.seconds) { host.doneJobs().size == 1 }
                }
                host.sentAt.zipWithNext { earlier, later -> later - earlier }.max() shouldBeLessThan 3.seconds
            }
        }
    }
})
