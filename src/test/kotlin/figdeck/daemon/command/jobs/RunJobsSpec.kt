package figdeck.daemon.command.jobs

import arrow.core.getOrElse
import arrow.core.right
import figdeck.command.serving.JobMemoryLimits
import figdeck.control.serving.adoptPlan
import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.serving.CrashGuard
import figdeck.daemon.command.serving.CrashRiskWriter
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.fleetMember
import figdeck.daemon.command.serving.poolMember
import figdeck.http.HttpBody
import figdeck.http.newHeaders
import figdeck.log.DecisionLog
import figdeck.model.TeamId
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.PoolName
import figdeck.model.serving.isOpen
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val JOBS = 8
private const val BODY_BYTES = 60_000
private val RUN_TIME = 200.milliseconds

/** Room for two jobs: the third may take six rows of 16,000 bytes when it is read. */
private val roomForTwo = JobMemoryLimits(held = 170_000, loading = 500_000, cached = 61_000)
private val plan = servingPlan {
    version = 1
    route("notes") {
        host = "desk.example"
        prefix = "/notes/"
        kind = CallKind.BATCH
        maxAttempts = 2
        batch = BatchPolicy(18.seconds, 60.seconds, null)
        pool("engines")
    }
}.getOrElse { error(it.toString()) }

private fun item(job: Int) = JobItem("item-$job", "/notes/1", emptyMap(), ByteArray(BODY_BYTES), 1)

/** An engine that takes [RUN_TIME] for an item and counts the items that run at once. */
private class CountingEngine {
    private val running = AtomicInteger()
    private val most = AtomicInteger()
    val mostAtOnce: Int get() = most.get()

    val forward: ForwardItem = { _, _, use ->
        most.accumulateAndGet(running.incrementAndGet()) { a, b -> maxOf(a, b) }
        delay(RUN_TIME)
        use(
            UpstreamReply(
                ExecutionStatus.RAN,
                200,
                newHeaders(),
                HttpBody(flowOf("id: 1\ndata: word\n\n".encodeToByteArray())),
                isLeaving = false,
            )
        )
        running.decrementAndGet()
        Unit.right()
    }
}

private class Run(
    private val host: TestHost,
    limits: JobMemoryLimits,
    onItem: (JobItem) -> Unit = {},
) {
    val engine = CountingEngine()
    private val store = MemoryBackends().platform(FaultInjector(null))
    private val services = JobServices(
        control = host.control,
        clock = systemClock,
        store = JobStore(store),
        progress = ProgressStore(store),
        cache = JobCache(limits.cached),
        memory = JobMemory(limits),
        timeEstimator = ItemTimeEstimator(),
        slots = host.slots,
        crashGuard = CrashGuard(
            host.control,
            systemClock,
            CrashRiskWriter(host.control, systemClock, store),
            Random(4),
            DecisionLog("prompts"),
        ),
        forward = engine.forward,
        random = Random(3),
        log = DecisionLog("jobs"),
        sharedParts = {
            onItem(it)
            emptyList()
        },
        sendFault = { null },
    )

    suspend fun submit(job: Int) {
        val items = listOf(item(job))
        val record = JobRecord(
            id = JobId("job-$job"),
            team = TeamId("stado"),
            route = "notes",
            submittedAtMillis = System.currentTimeMillis(),
            total = 1,
            tokens = 1,
            results = 0,
            isEnded = false,
            owner = services.self,
            chunks = 0,
            writeId = "w$job",
        )
        services.updateJobDirectory((services.store.create(record, items) as RecordWrite.Written).job)
    }

    /** Runs the jobs until [count] are done, and returns how many failures ended the loop of all jobs. */
    suspend fun untilDone(count: Int): Int {
        val failures = AtomicInteger()
        val handler = CoroutineExceptionHandler { _, _ -> failures.incrementAndGet() }
        val run = CoroutineScope(Dispatchers.Default + handler).launch { services.runJobs() }
        eventually(20.seconds) { failures.get() > 0 || doneJobs() == count }
        run.cancelAndJoin()
        return failures.get()
    }

    fun doneJobs(): Int = host.control.snapshot.jobs.jobs.values.count { !it.record.isOpen }
}

private suspend fun runOnHost(limits: JobMemoryLimits, onItem: (JobItem) -> Unit = {}, use: suspend (Run) -> Unit) {
    TestHost(fleetMember("host-1")).use { host ->
        host.setView(emptyList(), (1..JOBS).map { poolMember(PoolName("engines"), "engine-$it") })
        host.control.run { state, _ -> adoptPlan(state, plan) }
        use(Run(host, limits, onItem))
    }
}

class RunJobsSpec : DescribeSpec({
    describe("a host that owns eight jobs and has memory for two") {
        it("runs all of them, two at once") {
            runOnHost(roomForTwo) { run ->
                (1..JOBS).forEach { run.submit(it) }
                run.untilDone(JOBS) shouldBe 0
                run.doneJobs() shouldBe JOBS
                run.engine.mostAtOnce shouldBeInRange 2..2
            }
        }
    }

    describe("a host whose memory is smaller than each of its jobs") {
        it("runs them one after the other") {
            runOnHost(JobMemoryLimits(held = 1_000, loading = 1_000, cached = 1_000)) { run ->
                (1..3).forEach { run.submit(it) }
                run.untilDone(3) shouldBe 0
                run.doneJobs() shouldBe 3
                run.engine.mostAtOnce shouldBe 1
            }
        }
    }

    listOf<Pair<String, () -> Throwable>>(
        "the memory for its item is exhausted" to { OutOfMemoryError("heap") },
        "its item overflows the stack" to { StackOverflowError() },
        "a class can't be used" to { NoClassDefFoundError("Could not initialize class x") },
        "its item can't be sent" to { IllegalArgumentException("a header may hold no line break") },
    ).forEach { (name, failure) ->
        describe("a job whose run fails at first, because $name") {
            it("is completed later, and ends no other job") {
                val failuresByItem = ConcurrentHashMap<String, AtomicInteger>()
                val failTwice = { item: JobItem ->
                    val earlier = failuresByItem.getOrPut(item.id) { AtomicInteger() }.getAndIncrement()
                    if (item.id == "item-1" && earlier < 2) throw failure()
                }
                runOnHost(roomForTwo.copy(held = 1_000_000), failTwice) { run ->
                    (1..3).forEach { run.submit(it) }
                    run.untilDone(3) shouldBe 0
                    run.doneJobs() shouldBe 3
                }
            }
        }
    }
})
