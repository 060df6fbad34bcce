package figdeck.daemon.command

import arrow.core.right
import figdeck.command.Step
import figdeck.command.journal.journalKey
import figdeck.control.Control
import figdeck.control.changeJournal
import figdeck.control.confirmRevision
import figdeck.control.replaceConfiguration
import figdeck.control.stateOf
import figdeck.daemon.query.tableRequestRecords
import figdeck.model.CallResult
import figdeck.model.Configuration
import figdeck.model.HostId
import figdeck.model.RequestId
import figdeck.model.Revision
import figdeck.model.Template
import figdeck.model.systemClock
import figdeck.standin.commit
import figdeck.standin.emptyPlatform
import figdeck.standin.scan
import figdeck.store.Store
import figdeck.store.command.StoreCommands
import figdeck.store.query.Lookup
import figdeck.store.query.RowPage
import figdeck.store.query.StoreQueries
import figdeck.store.query.TableFeed
import figdeck.upstream.command.EngineResult
import figdeck.upstream.command.ServiceResponse
import figdeck.upstream.command.UpstreamCommands
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** A fault at one effect of a host. Effects are counted from 0. */
sealed interface Fault {
    val effect: Int

    /** The host crashes just before the effect, or just after it. */
    data class Crash(override val effect: Int, val afterEffect: Boolean) : Fault

    /** The reply is lost, so the host cannot know whether the effect took place. */
    data class LostReply(override val effect: Int, val afterEffect: Boolean) : Fault
}

/** An in-memory table and in-memory upstreams, which outlive the hosts that use them. */
class MemoryBackends {
    private var table = emptyPlatform
    val sendCounts = ConcurrentHashMap<RequestId, AtomicInteger>()

    val rows: Map<String, String> get() = synchronized(this) { table.rows.values.associate { it.key to it.value } }

    fun rowsUnder(prefix: String): List<String> = rows.keys.filter { it.startsWith(prefix) }

    fun timesSent(id: RequestId): Int = sendCounts[id]?.get() ?: 0

    internal fun platform(faults: FaultInjector) = Store(
        StoreCommands(
            commit = { transaction -> faults.call { onTable { commit(it, transaction) } } },
            putObject = { _, _ -> CallResult.Done(Unit) },
            deleteObject = { CallResult.Done(Unit) },
        ),
        StoreQueries(
            readRow = { key -> faults.call { onTable { Step(it, Lookup(it.rows[key])) } } },
            scanRows = { prefix, after, limit ->
                faults.call { onTable { Step(it, scan(it, prefix, after, limit)) } }
            },
            readObject = { CallResult.Done(Lookup(null)) },
            listHosts = { CallResult.Done(emptyList()) },
        ),
    )

    internal fun feed(faults: FaultInjector) = TableFeed(
        snapshot = { _, _ -> CallResult.NotDone("only pages are read") },
        page = { table, after, limit ->
            faults.call {
                onTable { state ->
                    val rows = scan(state, "$table/", "$table/$after", limit + 1)
                    val page = rows.take(limit).map { it.copy(key = it.key.removePrefix("$table/")) }
                    Step(state, RowPage(page, rows.size > limit, state.version))
                }
            }
        },
        changes = { _, _, _ -> CallResult.NotDone("no changes are read") },
    )

    internal fun upstreams(faults: FaultInjector) = UpstreamCommands(
        generate = { generation, onDelta ->
            when (val result = faults.call { count(generation.request) }) {
                is CallResult.Done -> {
                    onDelta("the answer")
                    EngineResult.Finished("stop")
                }
                is CallResult.NotDone -> EngineResult.NotSent(result.reason)
                is CallResult.Refused -> EngineResult.NotSent(result.reason)
                is CallResult.Unknown -> EngineResult.Lost(result.reason)
            }
        },
        call = { _, id, _ ->
            faults.call {
                count(id)
                ServiceResponse(200, "text/plain", "free")
            }
        },
    )

    private fun count(id: RequestId) {
        sendCounts.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
    }

    private fun <R> onTable(change: (figdeck.standin.PlatformState) -> Step<figdeck.standin.PlatformState, R>): R =
        synchronized(this) {
            val step = change(table)
            table = step.state
            step.result
        }
}

/** Counts the effects of a host and injects [fault] at one of them. */
internal class FaultInjector(private val fault: Fault?) {
    private val count = AtomicInteger()
    val crashed = CompletableDeferred<Unit>()
    val effectCount: Int get() = count.get()

    suspend fun <T> call(effect: () -> T): CallResult<T> {
        if (crashed.isCompleted) {
            awaitCancellation()
        }
        val number = count.getAndIncrement()
        return when (val now = fault?.takeIf { it.effect == number }) {
            null -> CallResult.Done(effect())
            is Fault.LostReply -> {
                if (now.afterEffect) effect()
                CallResult.Unknown("reply lost by an injected fault")
            }
            is Fault.Crash -> {
                if (now.afterEffect) effect()
                crashed.complete(Unit)
                awaitCancellation()
            }
        }
    }
}

/** A daemon without listeners that uses in-memory backends. */
internal class MemoryHost(
    backends: MemoryBackends,
    name: String,
    template: Template,
    fault: Fault? = null
) : AutoCloseable {
    val faults = FaultInjector(fault)
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val control = Control(stateOf(name), systemClock)
    private val platform = backends.platform(faults)
    private val groups = GroupCommit(control, platform)
    private val numbers = AtomicInteger()
    private val incarnations = { "$name-${numbers.incrementAndGet()}" }
    private val configuration = Configuration(Revision(1), persistentMapOf(template.name to template))
    val services = Services(
        control = control,
        clock = systemClock,
        newRequestId = { RequestId("$name.${numbers.incrementAndGet()}") },
        limits = RateLimiter { Unit.right() },
        journal = groupJournal(control, platform, groups),
        records = tableRequestRecords(platform.queries),
        work = scope,
        ownership = Ownership({ null }, { null }),
        dispatcher = Dispatcher({ Permit(1, it.candidates.first(), CompletableDeferred()).right() }, { _, _, _ -> }),
        upstreams = backends.upstreams(faults),
    )

    /** Starts serving requests and taking over the journals of the [crashed] hosts. */
    suspend fun start(vararg crashed: String) {
        control.run { state, _ -> replaceConfiguration(state, configuration) }
        control.run { state, now -> confirmRevision(state, configuration.revision, now) }
        control.run { state, _ -> changeJournal(state) { Step(it.copy(interval = 1.milliseconds), Unit) } }
        scope.launch { services.writeOwnJournal(platform, groups, incarnations) }
        if (crashed.isNotEmpty()) {
            scope.launch {
                services.takeOverJournals(platform, { crashed.map { HostId(it) } }, incarnations, 2.milliseconds)
            }
        }
    }

    val holdsJournal: Boolean get() = control.snapshot.journal.writer != null

    override fun close() {
        scope.cancel()
        control.close()
    }
}

/** Whether the journal of the host [name] is closed and no request is left to recover. */
internal fun MemoryBackends.isSettled(name: String): Boolean =
    rows[journalKey(HostId(name))] == null && rowsUnder("open/").isEmpty()
