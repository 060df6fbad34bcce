package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import figdeck.command.Step
import figdeck.command.serving.VersionedJob
import figdeck.command.serving.jobMemoryLimits
import figdeck.command.serving.planStop
import figdeck.control.serving.adoptPlan
import figdeck.control.serving.updateJobs
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
import figdeck.daemon.query.jobs.ResultPage
import figdeck.daemon.query.jobs.answerWithResults
import figdeck.http.HttpBody
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.LossCause
import figdeck.http.newHeaders
import figdeck.log.DecisionLog
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.serving.PoolName
import figdeck.model.serving.PromptPart
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.ServingTeam
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.platform.sendFaultOf
import figdeck.platform.sharedPartsOf
import figdeck.process.eventually
import figdeck.store.Store
import figdeck.wire.serving.jobRecordKey
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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

/** All results of [id], however many reads they take. */
private suspend fun JobStore.allResults(id: JobId): List<JobResult> {
    val all = mutableListOf<JobResult>()
    do {
        val found = (readResults(id, all.size) as CallResult.Done).value
        all += found
    } while (found.isNotEmpty())
    return all
}

/** The page that a caller of [team] gets who asks for the results of [id] from the start. */
private suspend fun JobServices.firstPage(id: JobId, team: TeamId): Either<Refusal, ResultPage> {
    val pages = mutableListOf<ResultPage>()
    return answerWithResults(id, team, 0, Duration.ZERO) { pages += it }.map { pages.single() }
}

private val testMemory = jobMemoryLimits(heapBytes = 100_000_000)

private fun event(number: Long, data: String) = "id: $number\ndata: $data\n\n".encodeToByteArray()

/** An engine that sends the events after [SendOptions.resumeAfter], and hangs or breaks off after the event [last]. */
private class FakeEngine(
    private val last: Long,
    private val isLeaving: Boolean = false,
    private val data: (Long) -> String = { "word $it" },
) {
    val resumedAfter = CopyOnWriteArrayList<Long?>()

    val sentItems = CopyOnWriteArrayList<String>()

    val forward: ForwardItem = { call, options, use ->
        call.item.headers.forEach { (name, value) -> newHeaders().set(name, value) }
        sentItems += call.item.id
        resumedAfter += options.resumeAfter
        val chunks = flow {
            ((options.resumeAfter ?: 0) + 1..minOf(last, EVENTS)).forEach { emit(event(it, data(it))) }
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
    sendFault = ::sendFaultOf,
)

private suspend fun <R> onHost(
    name: String,
    store: Store,
    engine: FakeEngine,
    known: ServingPlan? = plan,
    use: suspend (JobServices) -> R,
): R =
    TestHost(fleetMember(name)).use { host ->
        host.setView(emptyList(), listOf(poolMember(PoolName("engines"), "engine-1")))
        known?.let { host.control.run { state, _ -> adoptPlan(state, it) } }
        use(host.jobServices(store, engine))
    }

private fun TableTransaction.resultRows(): List<String> =
    writes.filter { it.key.startsWith("jobresult/") }.mapNotNull { it.value }

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

    // Guards against items that are given up because the host does not know their route yet.
    describe("a job that was accepted under version 7 of the configuration") {
        suspend fun outputs(known: ServingPlan?, later: ServingPlan?, acceptedUnder: Long? = 7): List<String> {
            val store = MemoryBackends().platform(FaultInjector(null))
            val jobs = JobStore(store)
            val created = jobs.create(record.copy(planVersion = acceptedUnder), items) as RecordWrite.Written
            onHost("host-1", store, FakeEngine(last = EVENTS), known) { services ->
                val run = CoroutineScope(Dispatchers.Default).launch { services.runJob(created.job, Semaphore(4)) }
                delay(500.milliseconds)
                later?.let { services.control.run { state, _ -> adoptPlan(state, it) } }
                withTimeoutOrNull(5.seconds) { run.join() }
                run.cancelAndJoin()
            }
            return (jobs.readResults(id, 0) as CallResult.Done).value.map { it.output }
        }

        val withRoute = plan.copy(version = 7)
        fun withoutRoute(version: Long) = plan.copy(version = version, routes = emptyList())

        it("is run by a host that reads the configuration only after the job") {
            outputs(known = null, later = withRoute) shouldContainExactly listOf(wholeOutput, wholeOutput)
        }

        it("is run by a host whose configuration was older and had no such route") {
            outputs(known = withoutRoute(6), later = withRoute) shouldContainExactly listOf(wholeOutput, wholeOutput)
        }

        it("waits at a host that reads no configuration") {
            outputs(known = null, later = null).shouldBeEmpty()
        }

        it("is given up by a host whose configuration no longer has the route") {
            outputs(known = withRoute, later = null, acceptedUnder = null) shouldContainExactly
                listOf(wholeOutput, wholeOutput)
            outputs(known = withoutRoute(8), later = null) shouldContainExactly listOf("", "")
            outputs(known = null, later = withoutRoute(7)) shouldContainExactly listOf("", "")
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

    // Guards against an item, stored by an earlier version, that can't be sent and ends the loop that runs all jobs.
    describe("a stored job whose first item has a header that may not be sent") {
        val malformed = listOf(items[0].copy(headers = mapOf("X Title" to "x")), items[1])
        val soundItems = items.map { it.copy(id = "sound-${it.id}") }
        val soundId = JobId("job-2")

        suspend fun runBoth(
            submittedAtMillis: Long,
            engine: FakeEngine,
            isDone: suspend (JobStore) -> Boolean,
        ): JobStore {
            val store = MemoryBackends().platform(FaultInjector(null))
            val jobs = JobStore(store)
            val first = jobs.create(record.copy(submittedAtMillis = submittedAtMillis), malformed)
            val second = jobs.create(record.copy(id = soundId), soundItems)
            onHost("host-1", store, engine) { services ->
                listOf(first, second).forEach { services.updateJobDirectory((it as RecordWrite.Written).job) }
                val run = CoroutineScope(Dispatchers.Default + CoroutineExceptionHandler { _, _ -> })
                    .launch { services.runJobs() }
                eventually(10.seconds) { isDone(jobs) }
                run.cancelAndJoin()
            }
            return jobs
        }

        suspend fun JobStore.resultsOf(job: JobId) = (readResults(job, 0) as CallResult.Done).value

        it("runs its other item and all other jobs, and keeps that item waiting without sending it") {
            val engine = FakeEngine(last = EVENTS)
            val jobs = runBoth(System.currentTimeMillis(), engine) {
                it.resultsOf(soundId).size == soundItems.size && it.resultsOf(id).isNotEmpty()
            }
            jobs.resultsOf(id) shouldContainExactly listOf(JobResult("item-2", isComplete = true, output = wholeOutput))
            engine.sentItems shouldContainExactlyInAnyOrder listOf("item-2", "sound-item-1", "sound-item-2")
        }

        it("gives that item up once its route allows it to be abandoned, and completes all other jobs") {
            val submitted = System.currentTimeMillis() - 58.seconds.inWholeMilliseconds
            val engine = FakeEngine(last = EVENTS)
            val jobs = runBoth(submitted, engine) {
                it.resultsOf(soundId).size == soundItems.size && it.resultsOf(id).size == malformed.size
            }
            jobs.resultsOf(id).associate { it.item to it.isComplete } shouldBe
                mapOf("item-2" to true, "item-1" to false)
            engine.sentItems shouldContainExactlyInAnyOrder listOf("item-2", "sound-item-1", "sound-item-2")
        }
    }

    // Guards against writes that are refused for their size and repeated without end.
    describe("a job of 24 items whose results the store refuses to take in one write") {
        val many = (1..24).map { JobItem("item-$it", "/notes/1", emptyMap(), ByteArray(0), 1) }

        suspend fun results(
            limited: LimitedStore,
            known: ServingPlan = plan,
            data: (Long) -> String = { "word $it" },
        ): List<JobResult> {
            val jobs = JobStore(limited.store)
            val created = jobs.create(
                record.copy(total = many.size, submittedAtMillis = System.currentTimeMillis()),
                many
            )
            val engine = FakeEngine(EVENTS, data = data)
            limited.isDown = true
            onHost("host-1", limited.store, engine, known) { services ->
                val run = CoroutineScope(Dispatchers.Default).launch {
                    services.runJob((created as RecordWrite.Written).job, Semaphore(48))
                }
                // The store is back when all items are finished, so that their results are written together.
                eventually(20.seconds) { engine.resumedAfter.size == many.size }
                delay(200.milliseconds)
                limited.isDown = false
                withTimeoutOrNull(12.seconds) { run.join() }
                run.cancelAndJoin()
            }
            return jobs.allResults(id)
        }

        it("has all of them, though together they are larger than a write may be") {
            val limited = LimitedStore()
            val data = "字".repeat(6_000)
            val found = results(limited) { data }
            found.map { it.item }.toSet() shouldBe many.map { it.id }.toSet()
            found.map { it.output }.distinct() shouldContainExactly listOf(List(5) { data }.joinToString("\n"))
            limited.refused.shouldBeEmpty()
        }

        it("has all of them, though the store takes less than it says") {
            val limited = LimitedStore { transaction -> transaction.resultRows().size > 3 }
            results(limited).map { it.item }.toSet() shouldBe many.map { it.id }.toSet()
            limited.refused.isEmpty() shouldBe false
        }

        it("has all but the one that is refused by itself, which is given up only when it may be") {
            fun isRefused(transaction: TableTransaction) =
                transaction.resultRows().any { "item-7\"" in it && "word" in it }
            val limited = LimitedStore { isRefused(it) }
            val found = results(limited)
            found.map { it.item }.toSet() shouldBe many.map { it.id }.toSet() - "item-7"
            found.all { it.isComplete } shouldBe true
            val short = plan.copy(
                routes = plan.routes.map { it.copy(batch = BatchPolicy(1.seconds, 9.seconds, null)) },
            )
            val all = results(LimitedStore { isRefused(it) }, short)
            all.size shouldBe many.size
            all.filterNot { it.isComplete }.map { it.item } shouldContainExactly listOf("item-7")
        }
    }

    // Guards against items that are lost or listed twice when they are held back and read again.
    describe("a job of 24 items of which half are quarantined for a while") {
        it("has one complete result for each item, and sends each once") {
            val many = (1..24).map { JobItem("item-$it", "/notes/1", emptyMap(), ByteArray(100), 1) }
            val deadly = PromptPart("deadly")
            val store = MemoryBackends().platform(FaultInjector(null))
            val jobs = JobStore(store)
            val created = jobs.create(record.copy(total = many.size), many) as RecordWrite.Written
            val engine = FakeEngine(EVENTS)
            onHost("host-1", store, engine) { host ->
                val services = host.copy(
                    sharedParts = { item ->
                        if (item.id.substringAfter('-').toInt() % 2 == 0) listOf(deadly) else emptyList()
                    },
                )
                (1..4).forEach {
                    val lost = UpstreamStart(UpstreamId("e-$it"), null)
                    services.crashGuard.recordLoss("loss-$it", lost, listOf(deadly))
                }
                services.crashGuard.recordAnswer(listOf(PromptPart("other")))
                val run = CoroutineScope(Dispatchers.Default).launch { services.runJob(created.job, Semaphore(4)) }
                eventually(10.seconds) { (jobs.readResults(id, 0) as CallResult.Done).value.size == many.size / 2 }
                delay(1_500.milliseconds)
                engine.sentItems.size shouldBe many.size / 2
                services.crashGuard.recordAnswer(listOf(deadly))
                withTimeoutOrNull(10.seconds) { run.join() }
                run.isCompleted shouldBe true
            }
            val results = (jobs.readResults(id, 0) as CallResult.Done).value
            results.map { it.item } shouldContainExactlyInAnyOrder many.map { it.id }
            results.map { it.output }.distinct() shouldContainExactly listOf(wholeOutput)
            engine.sentItems shouldContainExactlyInAnyOrder many.map { it.id }
        }
    }

    // Guards against jobs beyond a team's limit while the jobs that wait are not known yet.
    describe("a job of a team that may have 10 tokens waiting, at a host that has not read the job table") {
        it("is not refused for good, nor accepted, until the waiting jobs are known") {
            val store = MemoryBackends().platform(FaultInjector(null))
            val route = plan.routes.single().copy(batch = BatchPolicy(18.seconds, 60.seconds, 10))
            val submission = Submission(id, ServingTeam(record.team, emptySet(), null, null), route, items.take(1))
            onHost("host-1", store, FakeEngine(last = EVENTS)) { services ->
                services.submit(submission).leftOrNull().shouldBeInstanceOf<Refusal.StoreUnavailable>()
                (JobStore(store).read(id) as CallResult.Done).value shouldBe null
                services.control.run { state, now -> updateJobs(state) { it.copy(lastUpdateAt = now) } }
                services.submit(submission) shouldBe Unit.right()
            }
        }
    }

    // Guards against 404 for a job whose record this release can't read.
    describe("a job whose record can't be decoded") {
        it("is not reported as unknown") {
            val store = MemoryBackends().platform(FaultInjector(null))
            store.commands.commit(TableTransaction(emptyList(), listOf(RowWrite(jobRecordKey(id), "{}"))))
            onHost("host-1", store, FakeEngine(last = EVENTS)) { services ->
                services.firstPage(id, record.team).leftOrNull()
                    .shouldBeInstanceOf<Refusal.StoreUnavailable>()
                services.endJob(id, record.team).leftOrNull().shouldBeInstanceOf<Refusal.StoreUnavailable>()
            }
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
                services.firstPage(id, record.team).map { it.next }.getOrNull() shouldBe 1
                jobs.list(first, results.drop(1))
                services.firstPage(id, record.team).map { it.next }.getOrNull() shouldBe 2
            }
        }
    }
})
