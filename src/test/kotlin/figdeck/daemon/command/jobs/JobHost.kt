package figdeck.daemon.command.jobs

import arrow.core.right
import figdeck.command.serving.JobMemoryLimits
import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.serving.CrashGuard
import figdeck.daemon.command.serving.CrashRiskWriter
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.http.HttpBody
import figdeck.http.newHeaders
import figdeck.log.DecisionLog
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.isOpen
import figdeck.model.systemClock
import figdeck.store.Store
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/**
 * The batch jobs of [host], with a store of its own and upstreams that answer each item at once.
 *
 * @param customize replaces parts of the services.
 */
internal class JobHost(
    private val host: TestHost,
    limits: JobMemoryLimits = JobMemoryLimits(held = 1_000_000, loading = 1_000_000, cached = 0, answers = 1_000_000),
    customize: (JobServices, Store) -> JobServices = { services, _ -> services },
) {
    private val store = MemoryBackends().platform(FaultInjector(null))

    /** The upstreams to which items were sent, in order. */
    val sentTo = CopyOnWriteArrayList<UpstreamId>()
    val services = customize(
        JobServices(
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
            forward = { _, options, use ->
                sentTo += options.upstream.id
                val events = HttpBody(flowOf("id: 1\ndata: word\n\n".encodeToByteArray()))
                use(UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), events))
                Unit.right()
            },
            random = Random(3),
            log = DecisionLog("jobs"),
            sharedParts = { emptyList() },
            sendFault = { null },
        ),
        store,
    )

    /** Stores the job [name] of [team], with one item, which [owner] runs. */
    suspend fun submit(name: String, route: String, team: String = "walkers", owner: JobOwner = services.self) {
        val record = JobRecord(
            id = JobId(name),
            team = TeamId(team),
            submittedAtMillis = System.currentTimeMillis(),
            total = 1,
            tokens = 1,
            results = 0,
            isEnded = false,
            owner = owner,
            chunks = 0,
            writeId = "w-$name",
            route = route,
            planVersion = null,
        )
        val items = listOf(JobItem("item-$name", "/notes/1", emptyMap(), ByteArray(10), 1))
        services.updateJobDirectory((services.store.create(record, items) as RecordWrite.Written).job)
    }

    /** Runs the jobs while [use] runs. */
    suspend fun whileRunning(use: suspend () -> Unit) {
        val run = CoroutineScope(Dispatchers.Default).launch { services.runJobs() }
        use()
        run.cancelAndJoin()
    }

    fun doneJobs(): Set<String> =
        host.control.snapshot.jobs.jobs.values.filter { !it.record.isOpen }.map { it.record.id.value }.toSet()

    fun ownerOf(name: String): JobOwner = host.control.snapshot.jobs.jobs.getValue(JobId(name)).record.owner
}
