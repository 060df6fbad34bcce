package figdeck.daemon.command.batch

import arrow.core.right
import figdeck.control.Control
import figdeck.control.replaceConfiguration
import figdeck.control.startSegments
import figdeck.control.stateOf
import figdeck.daemon.command.Dispatcher
import figdeck.daemon.command.Journal
import figdeck.daemon.command.Ownership
import figdeck.daemon.command.Permit
import figdeck.daemon.command.RateLimiter
import figdeck.daemon.command.Services
import figdeck.daemon.query.findBatch
import figdeck.daemon.query.tableRequestRecords
import figdeck.http.HttpBody
import figdeck.model.BatchId
import figdeck.model.BatchStatus
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Configuration
import figdeck.model.Epoch
import figdeck.model.Fence
import figdeck.model.RequestId
import figdeck.model.Revision
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.SegmentId
import figdeck.model.SegmentPointer
import figdeck.model.TableTransaction
import figdeck.model.Team
import figdeck.model.TeamId
import figdeck.model.hashKey
import figdeck.model.systemClock
import figdeck.model.template
import figdeck.process.batchLine
import figdeck.query.statusOf
import figdeck.standin.commit
import figdeck.standin.emptyPlatform
import figdeck.standin.scan
import figdeck.store.Store
import figdeck.store.command.StoreCommands
import figdeck.store.query.Lookup
import figdeck.store.query.StoreQueries
import figdeck.upstream.command.EngineResult
import figdeck.upstream.command.Generation
import figdeck.upstream.command.UpstreamCommands
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.sync.Semaphore
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.time.Duration.Companion.milliseconds

/** Simulates the crash of a host. */
class Crash : RuntimeException("the host crashed")

/** A fault at one step of a host. Each call to the platform or to an engine is a step. */
enum class HostFault { CRASH_BEFORE, CRASH_AFTER, LOST_BEFORE, LOST_AFTER }

/** Counts the steps of a host, and runs [beforeStep] and injects [fault] at [targetStep]. */
class FaultInjector(
    private val targetStep: Int = -1,
    private val fault: HostFault? = null,
    private val beforeStep: suspend () -> Unit = {
    }
) {
    var stepCount = 0
        private set

    suspend fun <T> runStep(lostReply: T, effect: suspend () -> T): T {
        val isTargetStep = stepCount++ == targetStep
        if (!isTargetStep) return effect()
        beforeStep()
        return when (fault) {
            null -> effect()
            HostFault.CRASH_BEFORE -> throw Crash()
            HostFault.CRASH_AFTER -> {
                effect()
                throw Crash()
            }
            HostFault.LOST_BEFORE -> lostReply
            HostFault.LOST_AFTER -> {
                effect()
                lostReply
            }
        }
    }
}

private val lostCall = CallResult.Unknown("injected loss of the reply")

/** An in-memory table, object store and engine that several hosts share. Each call is a step of the calling host. */
class BatchHarness : AutoCloseable {
    private var state = emptyPlatform
    private val controls = mutableListOf<Control<*>>()
    private var epoch = 0L

    /** How many times the engine finished each request. */
    val finishCounts = mutableMapOf<RequestId, Int>()
    val rows get() = state.rows
    val objects get() = state.objects

    /** Moves the ownership of every shard to a new epoch. Hosts of an older epoch still act as owners. */
    fun takeOwnership(): Fence {
        epoch++
        val write = TableTransaction(emptyList(), listOf(RowWrite("owner", "$epoch")))
        val committed = table(write) as CommitReply.Committed
        return Fence(Epoch(epoch), RowCheck("owner", committed.version))
    }

    private fun table(transaction: TableTransaction): CommitReply =
        commit(state, transaction).also { state = it.state }.result

    private fun platform(faults: FaultInjector) = Store(
        StoreCommands(
            commit = { faults.runStep<CallResult<CommitReply>>(lostCall) { CallResult.Done(table(it)) } },
            putObject = { key, bytes ->
                faults.runStep<CallResult<Unit>>(lostCall) {
                    state = state.copy(objects = state.objects.put(key, bytes))
                    CallResult.Done(Unit)
                }
            },
            deleteObject = { key ->
                faults.runStep<CallResult<Unit>>(lostCall) {
                    state = state.copy(objects = state.objects.remove(key))
                    CallResult.Done(Unit)
                }
            },
        ),
        StoreQueries(
            readRow = { key -> faults.runStep(lostCall) { CallResult.Done(Lookup(state.rows[key])) } },
            scanRows = { prefix, after, limit ->
                faults.runStep(lostCall) { CallResult.Done(scan(state, prefix, after, limit)) }
            },
            readObject = { key -> faults.runStep(lostCall) { CallResult.Done(Lookup(state.objects[key])) } },
            listHosts = { CallResult.Done(emptyList()) },
        ),
    )

    private suspend fun generate(generation: Generation, onDelta: suspend (String) -> Unit): EngineResult {
        val generatedCount = generation.generated.count { it == ' ' }
        for (i in generatedCount until generation.chat.maxTokens) onDelta("${generation.chat.messages[0].content}$i ")
        finishCounts.merge(generation.request, 1, Int::plus)
        return EngineResult.Finished("stop")
    }

    /** Creates a host that owns every shard under [fence], by default under a new epoch. */
    suspend fun host(
        faults: FaultInjector = FaultInjector(),
        tuning: BatchTuning = testTuning,
        fence: Fence = takeOwnership(),
    ): BatchServices {
        val name = "host-${controls.size}"
        val control = Control(stateOf(name), systemClock)
        controls += control
        control.run { state, _ -> replaceConfiguration(state, testConfiguration) }
        var nextId = 0
        val services = Services(
            control = control,
            clock = systemClock,
            newRequestId = { RequestId("$name.${nextId++}") },
            limits = RateLimiter { Unit.right() },
            journal = noJournal,
            records = tableRequestRecords(platform(faults).queries),
            work = CoroutineScope(EmptyCoroutineContext),
            ownership = Ownership({ fence }, { null }),
            dispatcher = Dispatcher(
                { Permit(1, it.candidates.first(), CompletableDeferred()).right() },
                { _, _, _ -> },
            ),
            upstreams = UpstreamCommands(
                { generation, delta -> faults.runStep(EngineResult.Lost("lost")) { generate(generation, delta) } },
                { _, _, _ -> lostCall },
            ),
        )
        return BatchServices(services, platform(faults), tuning)
    }

    suspend fun status(id: BatchId): BatchStatus =
        platform(FaultInjector()).queries.findBatch(testTeam.id, id.value).fold({ error(it) }, { it })
            .let { statusOf(it.stored.job, it.segments) }

    /** The keys of the result objects of the job [id]. Each writer uses its own keys. */
    suspend fun resultObjects(id: BatchId): List<String> =
        platform(FaultInjector()).queries.findBatch(testTeam.id, id.value).fold({ error(it) }, { it }).segments
            .flatMap { segment -> segment.groups.map { it.objectKey } }

    /** All result lines of the job [id], in the order in which a caller reads them. */
    suspend fun results(id: BatchId): List<String> =
        resultObjects(id)
            .map { state.objects.getValue(it).decodeToString() }
            .flatMap { it.trimEnd('\n').lines() }

    override fun close() = controls.forEach { it.close() }
}

private val noJournal = Journal({ unused() }, { _, _ -> unused() }, { unused() }, { _, _ -> unused() })

private fun unused(): Nothing = error("batch work does not use the journal")

private val testTemplate = template("bench") {
    upstream("engine") {
        address = "127.0.0.1:1"
        dataCentre = "centre-a"
    }
    model("walks") { upstreams = listOf("engine") }
    team("stado") {
        key("desk", hashKey("key").hex)
        models = listOf("walks")
    }
}.fold({ error(it) }, { it })
private val testConfiguration = Configuration(
    Revision(1),
    figdeck.model.emptyConfiguration.templates.put(testTemplate.name, testTemplate),
)

/** Groups of three items, and a short backoff. */
val testTuning = BatchTuning(maxGroupItems = 3, initialBackoff = 1.milliseconds)
val testTeam: Team = testTemplate.teams.single()

fun testBody(items: Int): HttpBody =
    HttpBody(flowOf((0 until items).joinToString("\n") { batchLine("c$it", "p$it", 2) }.encodeToByteArray()))

suspend fun BatchServices.submitItems(items: Int, key: String? = null) =
    submitBatch(BatchSubmission(testTeam, key, testBody(items)))

/** Runs segment 0 of [id], started in the same way as by [runBatches]. */
suspend fun BatchServices.runFirstSegment(id: BatchId) {
    val segment = SegmentId(id, 0)
    services.control.run { state, now ->
        startSegments(
            state,
            listOf(SegmentPointer(segment, TeamId("stado"), 0)),
            now
        )
    }
    runSegment(segment, Semaphore(tuning.maxItemsInFlight))
}
