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
import figdeck.model.CallResult
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.PoolName
import figdeck.model.serving.PromptPart
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.isOpen
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.process.eventually
import figdeck.store.Store
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
import java.lang.ref.WeakReference
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val JOBS = 8
private const val BODY_BYTES = 60_000
private val RUN_TIME = 200.milliseconds

/** Room for two jobs: the third may take six rows of 16,000 bytes when it is read. */
private val roomForTwo = JobMemoryLimits(held = 170_000, loading = 500_000, cached = 61_000, answers = 1_000_000)
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
    store: Store = MemoryBackends().platform(FaultInjector(null)),
    adapt: (JobServices) -> JobServices = { it },
) {
    val engine = CountingEngine()
    private val itemReads = AtomicInteger()
    val readsOfItems: Int get() = itemReads.get()
    val services = adapt(newServices(limits, onItem, store.countingItemReads(itemReads)))

    private fun newServices(limits: JobMemoryLimits, onItem: (JobItem) -> Unit, store: Store) = JobServices(
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

    suspend fun submit(job: Int, planVersion: Long? = null) {
        val items = listOf(item(job))
        val record = JobRecord(
            id = JobId("job-$job"),
            team = TeamId("stado"),
            submittedAtMillis = System.currentTimeMillis(),
            total = 1,
            tokens = 1,
            results = 0,
            isEnded = false,
            owner = services.self,
            chunks = 0,
            writeId = "w$job",
            route = if (planVersion == null) "notes" else "later",
            planVersion = planVersion,
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

    /** Runs the jobs while [use] runs. */
    suspend fun whileRunning(use: suspend () -> Unit) {
        val run = CoroutineScope(Dispatchers.Default).launch { services.runJobs() }
        use()
        run.cancelAndJoin()
    }

    suspend fun adopt(plan: ServingPlan) = host.control.run { state, _ -> adoptPlan(state, plan) }

    fun doneJobs(): Int = host.control.snapshot.jobs.jobs.values.count { !it.record.isOpen }
}

private fun Store.countingItemReads(reads: AtomicInteger): Store = copy(
    queries = queries.copy(
        scanRows = { prefix, after, limit ->
            if (prefix.startsWith("jobitem")) reads.incrementAndGet()
            queries.scanRows(prefix, after, limit)
        },
    ),
)

private suspend fun runOnHost(
    limits: JobMemoryLimits,
    onItem: (JobItem) -> Unit = {},
    store: Store = MemoryBackends().platform(FaultInjector(null)),
    adapt: (JobServices) -> JobServices = { it },
    use: suspend (Run) -> Unit,
) {
    TestHost(fleetMember("host-1")).use { host ->
        host.setView(emptyList(), (1..JOBS).map { poolMember(PoolName("engines"), "engine-$it") })
        host.control.run { state, _ -> adoptPlan(state, plan) }
        use(Run(host, limits, onItem, store, adapt))
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
            runOnHost(JobMemoryLimits(held = 1_000, loading = 1_000, cached = 1_000, answers = 1_000_000)) { run ->
                (1..3).forEach { run.submit(it) }
                run.untilDone(3) shouldBe 0
                run.doneJobs() shouldBe 3
                run.engine.mostAtOnce shouldBe 1
            }
        }
    }

    // Guards against jobs whose items only wait and that keep all memory, so that sound jobs behind them never start.
    describe("a host with memory for two jobs whose first two jobs hold an item that waits") {
        val waiting = setOf("item-1", "item-2")
        val deadly = PromptPart("deadly")

        suspend fun Run.quarantine() {
            (1..4).forEach {
                services.crashGuard.recordLoss(
                    "loss-$it",
                    UpstreamStart(UpstreamId("engine-$it"), null),
                    listOf(deadly)
                )
            }
            services.crashGuard.recordAnswer(listOf(PromptPart("other")))
            (services.crashGuard.holdOf(listOf(deadly)) != null) shouldBe true
        }

        suspend fun Run.shouldRunSoundJobsOnly() {
            eventually(12.seconds) { doneJobs() == JOBS - waiting.size }
            delay(2_500.milliseconds)
            doneJobs() shouldBe JOBS - waiting.size
            services.memory.held.usedBytes shouldBe 0L
            readsOfItems shouldBeInRange 1..JOBS + 1
            engine.mostAtOnce shouldBeInRange 1..2
        }

        it("runs the six behind them, if those items can't be sent") {
            val adapt = { services: JobServices ->
                services.copy(sendFault = { item -> "a header".takeIf { item.id in waiting } })
            }
            runOnHost(roomForTwo, adapt = adapt) { run ->
                (1..JOBS).forEach { run.submit(it) }
                run.whileRunning { run.shouldRunSoundJobsOnly() }
            }
        }

        it("runs the six behind them, if those items are quarantined, and those once they are cleared") {
            val adapt = { services: JobServices ->
                services.copy(sharedParts = { item -> if (item.id in waiting) listOf(deadly) else emptyList() })
            }
            runOnHost(roomForTwo, adapt = adapt) { run ->
                run.quarantine()
                (1..JOBS).forEach { run.submit(it) }
                run.whileRunning {
                    run.shouldRunSoundJobsOnly()
                    run.services.crashGuard.recordAnswer(listOf(deadly))
                    eventually(5.seconds) { run.doneJobs() == JOBS }
                }
                run.readsOfItems shouldBeInRange 1..JOBS + 3
            }
        }

        it("keeps no body of those items") {
            val bodies = ConcurrentHashMap<String, WeakReference<ByteArray>>()
            val adapt = { services: JobServices ->
                services.copy(
                    sendFault = { item ->
                        bodies[item.id] = WeakReference(item.body)
                        "a header".takeIf { item.id in waiting }
                    },
                )
            }
            runOnHost(roomForTwo.copy(cached = 0), adapt = adapt) { run ->
                (1..JOBS).forEach { run.submit(it) }
                run.whileRunning {
                    run.shouldRunSoundJobsOnly()
                    eventually(5.seconds) {
                        System.gc()
                        waiting.all { bodies.getValue(it).get() == null }
                    }
                }
            }
        }

        it("runs the six behind them, if the route of those items is not read yet, and those once it is") {
            runOnHost(roomForTwo) { run ->
                (1..JOBS).forEach { run.submit(it, planVersion = 7L.takeIf { _ -> it <= waiting.size }) }
                run.whileRunning {
                    run.shouldRunSoundJobsOnly()
                    val later = plan.routes.map { it.copy(name = "later", prefix = "/later/") }
                    run.adopt(plan.copy(version = 7, routes = plan.routes + later))
                    eventually(5.seconds) { run.doneJobs() == JOBS }
                }
            }
        }

        it("runs the six behind them, if the store refuses the results of those items") {
            val limited = LimitedStore { transaction ->
                transaction.writes.any { write ->
                    write.key.startsWith("jobresult/") && waiting.any { "$it\"" in write.value.orEmpty() }
                }
            }
            runOnHost(roomForTwo, store = limited.store) { run ->
                (1..JOBS).forEach { run.submit(it) }
                run.whileRunning { run.shouldRunSoundJobsOnly() }
            }
        }

        it("runs the six behind them, if those items can't be read from the store") {
            val backend = MemoryBackends().platform(FaultInjector(null))
            val lossy = backend.copy(
                queries = backend.queries.copy(
                    scanRows = { prefix, after, limit ->
                        val isLost = prefix.startsWith("jobitem") && ("job-1/" in prefix || "job-2/" in prefix)
                        if (isLost) CallResult.NotDone("503") else backend.queries.scanRows(prefix, after, limit)
                    },
                ),
            )
            runOnHost(roomForTwo.copy(cached = 0), store = lossy) { run ->
                (1..JOBS).forEach { run.submit(it) }
                run.whileRunning { eventually(12.seconds) { run.doneJobs() == JOBS - waiting.size } }
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
