package figdeck.daemon.command.serving

import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import figdeck.command.dispatch.SlotOutcome
import figdeck.command.serving.jobMemoryLimits
import figdeck.control.serving.adoptPlan
import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.jobs.ForwardItem
import figdeck.daemon.command.jobs.ItemOutput
import figdeck.daemon.command.jobs.ItemRunner
import figdeck.daemon.command.jobs.ItemState
import figdeck.daemon.command.jobs.ItemTimeEstimator
import figdeck.daemon.command.jobs.JobCache
import figdeck.daemon.command.jobs.JobMemory
import figdeck.daemon.command.jobs.JobServices
import figdeck.daemon.command.jobs.JobStore
import figdeck.daemon.command.jobs.ProgressStore
import figdeck.http.HttpBody
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.LossCause
import figdeck.http.newHeaders
import figdeck.log.DecisionLog
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.WorkFeatures
import figdeck.model.serving.noProgress
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.platform.itemFeaturesOf
import figdeck.process.eventually
import figdeck.query.serving.RouteAccess
import figdeck.wire.serving.SlotRelease
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val TOKENS_PER_EVENT = 8
private val pool = PoolName("engines")
private val plan: ServingPlan = servingPlan {
    version = 1
    route("chat") {
        host = "desk.example"
        prefix = "/chat/"
        kind = CallKind.RESUMABLE_STREAM
        timeout = 5.seconds
        latencyObjective = 1.seconds
        maxAttempts = 2
        pool(pool.value)
    }
    route("notes") {
        host = "desk.example"
        prefix = "/notes/"
        kind = CallKind.BATCH
        maxAttempts = 2
        batch = BatchPolicy(18.seconds, 60.seconds, null)
        pool(pool.value)
    }
    pool(pool.value) { tokensPerEvent = TOKENS_PER_EVENT }
}.getOrElse { error(it.toString()) }

private val features = WorkFeatures("chat", 450, 0, 400, 90)

private fun event(id: Int) = "id: $id\ndata: word $id\n\n"

private fun reply(chunks: Flow<ByteArray>, status: ExecutionStatus = ExecutionStatus.RAN) =
    UpstreamReply(status, 200, newHeaders(), HttpBody(chunks))

private fun reply(vararg chunks: String) = reply(flow { chunks.forEach { emit(it.encodeToByteArray()) } })

private val cut = ExchangeFailure.Lost("cut", LossCause.CONNECTION_ENDED).left()
private val silentCaller = CallerChannel({ _, _ -> }, { }, { _, _, _ -> })

/** A host with more cores that grants slots at the upstreams `engine-1`, `engine-2` and so on, and keeps releases. */
private class Granting {
    val requests = CopyOnWriteArrayList<SlotRequest>()
    val releases = CopyOnWriteArrayList<SlotRelease>()
    val peers = unresponsivePeers.copy(
        acquire = { _, request ->
            requests += request
            SlotResponse.Granted(UpstreamId("engine-${requests.size}"))
        },
        release = { _, release -> releases.add(release) },
    )

    suspend fun usages(count: Int): List<SlotUsage?> {
        eventually(5.seconds) { releases.size == count }
        return requests.map { request -> releases.single { it.ticket == request.ticket }.usage }
    }

    suspend fun <R> onHost(use: suspend (TestHost) -> R): R =
        TestHost(fleetMember("host-1", cores = 0.1), peers).use { host ->
            val engines = listOf("engine-1", "engine-2").map { poolMember(pool, it) }
            host.setView(listOf(fleetMember("host-2", cores = 2.0)), engines)
            host.control.run { state, _ -> adoptPlan(state, plan) }
            use(host)
        }
}

/** The output tokens of each slot, and whether they were whole, after serving a stream with [forward]. */
private suspend fun usagesOfStream(
    slots: Int,
    known: WorkFeatures? = features,
    resumeAfter: Long? = null,
    forward: Forward,
): List<SlotUsage?> = Granting().run {
    onHost { host ->
        val now = systemClock()
        val access = RouteAccess(plan.routes.first(), team = null)
        val call = OnlineCall("call", access, now, now + 4.seconds, 850, null, resumeAfter, features = known)
        host.onlineServices().serveOnline(call, forward, silentCaller)
        usages(slots)
    }
}

private val SlotUsage?.tokens: Pair<Int, Boolean>? get() = this?.let { it.outputTokens to it.isWhole }

private fun services(host: TestHost, forward: ForwardItem): JobServices {
    val store = MemoryBackends().platform(FaultInjector(null))
    val limits = jobMemoryLimits(heapBytes = 100_000_000)
    return JobServices(
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
        forward = forward,
        random = Random(3),
        log = DecisionLog("jobs"),
        sharedParts = { emptyList() },
        sendFault = { null },
        features = ::itemFeaturesOf,
    )
}

private val itemHeaders = mapOf("X-Token-Usage" to "450,400", "X-Length-Hint" to "90")
private val record = JobRecord(
    id = JobId("job-1"),
    team = TeamId("stado"),
    route = "notes",
    submittedAtMillis = System.currentTimeMillis(),
    total = 1,
    tokens = 850,
    results = 0,
    isEnded = false,
    owner = JobOwner(HostId("host-1"), "host-1"),
    chunks = 0,
    writeId = "w1",
)

/** The slots that an item with [headers] was granted, after running it with [forward]. */
private suspend fun runItem(headers: Map<String, String>, forward: ForwardItem): Granting = Granting().apply {
    onHost { host ->
        val item = JobItem("item-1", "/notes/1", headers, ByteArray(0), 850)
        val state = ItemState(0, item.id, item.tokens) { ItemOutput(noProgress) }
        ItemRunner(services(host, forward), record, item, state).run()
        eventually(5.seconds) { releases.size == requests.size }
    }
}

class WorkUsageSpec : DescribeSpec({
    describe("a relayed stream") {
        /** Relays events that each arrive after one of [pauses], to a caller that takes [callerTime] for each. */
        suspend fun measure(
            pauses: List<Duration>,
            isResumed: Boolean = false,
            end: String = "",
            callerTime: Duration = Duration.ZERO,
        ): SlotUsageMeter {
            var now = Moment(0, 0)
            val meter = SlotUsageMeter(now, isResumed)
            val relay = StreamRelay(null)
            relay.meter = meter
            val chunks = flow {
                pauses.forEachIndexed { i, pause ->
                    now += pause
                    emit(event(i + 1).encodeToByteArray())
                }
                if (end.isNotEmpty()) emit(end.encodeToByteArray())
            }
            val caller = CallerChannel({ _, _ -> }, { now += callerTime }, { _, _, _ -> })
            if (relay.relay(reply(chunks), 10.seconds, { now }, caller) == RelayResult.Complete) {
                meter.onComplete()
            }
            return meter
        }
        val pauses = listOf(120.milliseconds, 30.milliseconds, 40.milliseconds, 30.milliseconds)

        // Guards against a pace that includes the wait for the first event.
        it("is measured in tokens, the time to the first event, and the time from there to the last one") {
            measure(pauses).usage(TOKENS_PER_EVENT, 400) shouldBe
                SlotUsage(32, 120.milliseconds, 100.milliseconds, isWhole = true)
        }

        // Guards against slow callers that make their engine look slow.
        it("counts no time that its caller takes") {
            val usage = measure(pauses, callerTime = 400.milliseconds).usage(TOKENS_PER_EVENT, 400)
            usage?.streamingTime shouldBe 100.milliseconds
        }

        it("counts no more tokens than the maximum, since the last event may be shorter") {
            measure(pauses).usage(TOKENS_PER_EVENT, 27)?.outputTokens shouldBe 27
        }

        it("counts no comments") {
            val usage = measure(pauses, end = ": still there\n\n").usage(TOKENS_PER_EVENT, 400)
            usage.tokens shouldBe (32 to true)
        }

        it("is not whole if it ends within an event") {
            measure(pauses, end = "id: 5\nda").usage(TOKENS_PER_EVENT, 400).tokens shouldBe (32 to false)
        }

        it("is not whole if an upstream before this one began it") {
            measure(pauses, isResumed = true).usage(TOKENS_PER_EVENT, 400).tokens shouldBe (32 to false)
        }
    }

    describe("the release of a slot of an online stream") {
        it("tells its usage in tokens of the plan in force") {
            usagesOfStream(1) { _, handle ->
                handle(reply(event(1), event(2) + event(3)))
                Unit.right()
            }.map { it.tokens } shouldContainExactly listOf(24 to true)
        }

        // Guards against lengths that count the part of another upstream, or a rest as if it were a short output.
        it("counts only what its own upstream generated of a stream that goes on elsewhere") {
            var sends = 0
            usagesOfStream(2) { _, handle ->
                sends++
                handle(if (sends == 1) reply(event(1) + event(2) + "id: 3\nda") else reply(event(3)))
                if (sends == 1) cut else Unit.right()
            }.map { it.tokens } shouldContainExactly listOf(16 to false, 8 to false)
        }

        it("does not count a stream as whole that the caller resumes") {
            usagesOfStream(1, resumeAfter = 4) { _, handle ->
                handle(reply(event(5)))
                Unit.right()
            }.map { it.tokens } shouldContainExactly listOf(8 to false)
        }

        it("tells nothing if the upstream did not run the request") {
            var sends = 0
            usagesOfStream(2) { _, handle ->
                sends++
                handle(if (sends == 1) reply(flow { }, ExecutionStatus.NOT_RUN) else reply(event(1)))
                Unit.right()
            }.map { it.tokens } shouldContainExactly listOf(null, 8 to true)
        }

        it("tells nothing about a request without features") {
            usagesOfStream(1, known = null) { _, handle ->
                handle(reply(event(1)))
                Unit.right()
            } shouldContainExactly listOf(null)
        }
    }

    describe("the release of a slot of a batch item") {
        it("tells its usage, and its slot request what the headers of the item tell") {
            val granting = runItem(itemHeaders) { _, _, use ->
                use(reply(event(1), event(2)))
                Unit.right()
            }
            granting.requests.map { it.features } shouldContainExactly listOf(WorkFeatures("notes", 450, 0, 400, 90))
            granting.releases.map { it.usage.tokens } shouldContainExactly listOf(16 to true)
            granting.releases.single().outcome shouldBe SlotOutcome.ANSWERED
        }

        it("counts only what its own upstream generated of an item that goes on elsewhere") {
            var sends = 0
            val granting = runItem(itemHeaders) { _, _, use ->
                sends++
                use(if (sends == 1) reply(event(1) + event(2) + "id: 3\nda") else reply(event(3)))
                if (sends == 1) cut else Unit.right()
            }
            granting.usages(2).map { it.tokens } shouldContainExactly listOf(16 to false, 8 to false)
        }

        it("tells nothing about an item without tokens, nor does its slot request") {
            val granting = runItem(emptyMap()) { _, _, use ->
                use(reply(event(1)))
                Unit.right()
            }
            granting.requests.map { it.features } shouldContainExactly listOf(null)
            granting.releases.map { it.usage } shouldContainExactly listOf(null)
        }
    }
})
