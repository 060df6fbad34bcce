package figdeck.daemon.command.jobs

import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import figdeck.command.Step
import figdeck.command.serving.VersionedJob
import figdeck.command.serving.jobMemoryLimits
import figdeck.command.serving.planStop
import figdeck.control.serving.adoptPlan
import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.serving.CrashGuard
import figdeck.daemon.command.serving.CrashRiskWriter
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.SendOptions
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.daemon.command.serving.fleetMember
import figdeck.daemon.command.serving.poolMember
import figdeck.daemon.query.jobs.readResults
import figdeck.http.HttpBody
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.LossCause
import figdeck.http.newHeaders
import figdeck.log.DecisionLog
import figdeck.model.CallResult
import figdeck.model.TeamId
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.serving.PoolName
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.platform.sharedPartsOf
import figdeck.process.eventually
import figdeck.store.Store
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val EVENTS = 5L
private val id = JobId("job-1")
private val wholeOutput = (1..EVENTS).joinToString("\n") { "word $it" }
private val items = listOf("item-1", "item-2").map { JobItem(it, "/notes/1", emptyMap(), ByteArray(0), 10) }
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

private val record = JobRecord(
    id = id,
    team = TeamId("stado"),
    route = "notes",
    submittedAtMillis = System.currentTimeMillis(),
    total = items.size,
    tokens = 20,
    results = 0,
    isEnded = false,
    owner = JobOwner(fleetMember("host-1").host, "host-1"),
    chunks = 0,
    writeId = "w1",
)

private val testMemory = jobMemoryLimits(heapBytes = 100_000_000)

private fun event(number: Long) = "id: $number\ndata: word $number\n\n".encodeToByteArray()

/** An engine that sends the events after [SendOptions.resumeAfter], and hangs or breaks off after the event [last]. */
private class FakeEngine(
    private val last: Long,
    private val isLeaving: Boolean = false,
) {
    val resumedAfter = CopyOnWriteArrayList<Long?>()

    val forward: ForwardItem = { _, options, use ->
        resumedAfter += options.resumeAfter
        val chunks = flow {
            ((options.resumeAfter ?: 0) + 1..minOf(last, EVENTS)).forEach { emit(event(it)) }
            if (last < EVENTS) awaitCancellation()
        }
        use(UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), HttpBody(chunks), isLeaving = isLeaving))
        if (last < EVENTS) ExchangeFailure.Lost("cut", LossCause.CONNECTION_ENDED).left() else Unit.right()
    }
}

private fun TestHost.jobServices(store: Store, engine: FakeEngine) = JobServices(
    control = control,
    clock = systemClock,
    store = JobStore(store),
    progress = ProgressStore(store),
    cache = JobCache(testMemory.cached),
    memory = JobMemory(testMemory),
    timeEstimator = ItemTimeEstimator(),
    slots = slots,
    crashGuard = CrashGuard(
        control,
        systemClock,
        CrashRiskWriter(control, systemClock, store),
        Random(4),
        DecisionLog("prompts"),
    ),
    forward = engine.forward,
    random = Random(3),
    log = DecisionLog("jobs"),
    sharedParts = ::sharedPartsOf,
)

private suspend fun <R> onHost(name: String, store: Store, engine: FakeEngine, use: suspend (JobServices) -> R): R =
    TestHost(fleetMember(name)).use { host ->
        host.setView(emptyList(), listOf(poolMember(PoolName("engines"), "engine-1")))
        host.control.run { state, _ -> adoptPlan(state, plan) }
        use(host.jobServices(store, engine))
    }

/** Stores [results] after those that [job] has. */
private suspend fun JobStore.list(job: VersionedJob, results: List<JobResult>): VersionedJob {
    val known = job.record.results
    val next = job.record.copy(results = known + results.size, writeId = "listed-$known")
    return (write(next, job.version, resultRowWrites(id, known, results)) as RecordWrite.Written).job
}

private suspend fun ProgressStore.savedEventCounts(): List<Int> =
    (read(id) as CallResult.Done).value.toSortedMap().values.map { it.progress.events.size }

class RunJobSpec : DescribeSpec({
    describe("a job of two items whose host is lost after three of five events") {
        val store = MemoryBackends().platform(FaultInjector(null))
        val jobs = JobStore(store)
        val progress = ProgressStore(store)
        val created = jobs.create(record, items) as RecordWrite.Written
        val nextEngine = FakeEngine(last = EVENTS)

        it("has its unfinished outputs in the store") {
            onHost("host-1", store, FakeEngine(last = 3)) { services ->
                val run = CoroutineScope(Dispatchers.Default).launch { services.runJob(created.job, Semaphore(4)) }
                eventually(10.seconds) { progress.savedEventCounts() == listOf(3, 3) }
                run.cancelAndJoin()
            }
        }
        it("resumes after the third event on its next host and stores complete outputs") {
            onHost("host-2", store, nextEngine) { services ->
                val owner = JobOwner(fleetMember("host-2").host, "host-2")
                val taken = jobs.write(created.job.record.copy(owner = owner, writeId = "w2"), created.job.version)
                services.runJob((taken as RecordWrite.Written).job, Semaphore(4))
            }
            nextEngine.resumedAfter shouldContainExactly listOf(3L, 3L)
            (jobs.readResults(id, 0) as CallResult.Done).value.toSet() shouldBe
                items.map { JobResult(it.id, isComplete = true, output = wholeOutput) }.toSet()
        }
        it("removes the unfinished outputs from the store") {
            progress.savedEventCounts().shouldBeEmpty()
        }
    }

    describe("a job that two hosts run, because a suspended owner resumes after its job was taken over") {
        val store = MemoryBackends().platform(FaultInjector(null))
        val jobs = JobStore(store)
        val created = jobs.create(record, items) as RecordWrite.Written

        it("has one complete result per item") {
            coroutineScope {
                listOf("host-1", "host-2").forEach { name ->
                    launch(Dispatchers.Default) {
                        onHost(name, store, FakeEngine(last = EVENTS)) { it.runJob(created.job, Semaphore(4)) }
                    }
                }
            }
            val results = (jobs.readResults(id, 0) as CallResult.Done).value
            results.map { it.item } shouldContainExactlyInAnyOrder items.map { it.id }
            results.map { it.output }.distinct() shouldContainExactly listOf(wholeOutput)
        }
    }

    // Guards against items for an upstream whose answers say that it is leaving while its entry says "ready".
    describe("an item whose upstream says in its answer that it is leaving") {
        it("is completed there, and no other work follows it") {
            val store = MemoryBackends().platform(FaultInjector(null))
            val created = JobStore(store).create(record.copy(total = 1), items.take(1)) as RecordWrite.Written
            onHost("host-1", store, FakeEngine(last = EVENTS, isLeaving = true)) { services ->
                services.runJob(created.job, Semaphore(1))
                services.control.snapshot.pools.members.values.map { it.isLeaving } shouldBe listOf(true)
            }
        }
    }

    // Guards against jobs that a host takes over shortly before it ends, and that wait for yet another owner then.
    describe("a job whose owner is lost") {
        suspend fun ownerAfterTakeOver(isStopping: Boolean): String {
            val store = MemoryBackends().platform(FaultInjector(null))
            val jobs = JobStore(store)
            val orphan = record.copy(owner = JobOwner(fleetMember("host-9").host, "lost"))
            val created = jobs.create(orphan, items) as RecordWrite.Written
            onHost("host-1", store, FakeEngine(last = 3)) { services ->
                services.updateJobDirectory(created.job)
                services.control.run { state, now ->
                    val stop = if (isStopping) planStop(8.seconds, now) else null
                    Step(state.copy(stop = stop, fleet = state.fleet.copy(renewedAt = now)), Unit)
                }
                val run = CoroutineScope(Dispatchers.Default).launch { services.runJobs() }
                delay(2.seconds)
                run.cancelAndJoin()
            }
            return (jobs.read(id) as CallResult.Done).value?.record?.owner?.host?.value.orEmpty()
        }

        it("is taken over by another host") {
            ownerAfterTakeOver(isStopping = false) shouldBe "host-1"
        }

        it("is not taken over by a host that is stopping") {
            ownerAfterTakeOver(isStopping = true) shouldBe "host-9"
        }
    }

    describe("a host that has read the first result of a job") {
        it("returns all results that are stored since, from the first one on") {
            val store = MemoryBackends().platform(FaultInjector(null))
            val jobs = JobStore(store)
            val results = items.map { JobResult(it.id, isComplete = true, output = wholeOutput) }
            val created = jobs.create(record, items) as RecordWrite.Written
            val first = jobs.list(created.job, results.take(1))
            onHost("host-2", store, FakeEngine(last = EVENTS)) { services ->
                services.readResults(id, record.team, 0, Duration.ZERO).map { it.next }.getOrNull() shouldBe 1
                jobs.list(first, results.drop(1))
                services.readResults(id, record.team, 0, Duration.ZERO).map { it.next }.getOrNull() shouldBe 2
            }
        }
    }
})
