package figdeck.daemon.command

import arrow.core.right
import figdeck.command.Step
import figdeck.command.journal.journalKey
import figdeck.control.Control
import figdeck.control.changeJournal
import figdeck.control.confirmRevision
import figdeck.control.followConfiguration
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
import figdeck.store.query.Found
import figdeck.store.query.StoreQueries
import figdeck.upstream.command.EngineResult
import figdeck.upstream.command.ServiceAnswer
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

/** What goes wrong at one of the effects of a host, which are counted from 0. */
sealed interface Fault {
    val effect: Int

    /** The host is lost just before the effect, or just after it. */
    data class Crash(override val effect: Int, val after: Boolean) : Fault

    /** The host is told that it can't be known whether the effect took place. */
    data class LostReply(override val effect: Int, val after: Boolean) : Fault
}

/** The table and the upstreams, which outlive the hosts. */
class MemoryWorld {
    private var table = emptyPlatform
    val sent = ConcurrentHashMap<RequestId, AtomicInteger>()

    val rows: Map<String, String> get() = synchronized(this) { table.rows.values.associate { it.key to it.value } }

    fun rowsUnder(prefix: String): List<String> = rows.keys.filter { it.startsWith(prefix) }

    fun timesSent(id: RequestId): Int = sent[id]?.get() ?: 0

    internal fun platform(effects: Effects) = Store(
        StoreCommands(
            commit = { transaction -> effects.call { onTable { commit(it, transaction) } } },
            putObject = { _, _ -> CallResult.Done(Unit) },
            deleteObject = { CallResult.Done(Unit) },
        ),
        StoreQueries(
            readRow = { key -> effects.call { onTable { Step(it, Found(it.rows[key])) } } },
            scanRows = { prefix, after, limit ->
                effects.call { onTable { Step(it, scan(it, prefix, after, limit)) } }
            },
            readObject = { CallResult.Done(Found(null)) },
            listHosts = { CallResult.Done(emptyList()) },
        ),
    )

    internal fun upstreams(effects: Effects) = UpstreamCommands(
        generate = { generation, onDelta ->
            when (val result = effects.call { count(generation.request) }) {
                is CallResult.Done -> {
                    onDelta("the answer")
                    EngineResult.Finished("stop")
                }
                is CallResult.NotDone -> EngineResult.NotSent(result.reason)
                is CallResult.Unknown -> EngineResult.Lost(result.reason)
            }
        },
        call = { _, id, _ ->
            effects.call {
                count(id)
                ServiceAnswer(200, "text/plain", "free")
            }
        },
    )

    private fun count(id: RequestId) {
        sent.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
    }

    private fun <R> onTable(change: (figdeck.standin.PlatformState) -> Step<figdeck.standin.PlatformState, R>): R =
        synchronized(this) {
            val step = change(table)
            table = step.state
            step.result
        }
}

/** Counts the effects of a host and lets one of them go wrong. */
internal class Effects(private val fault: Fault?) {
    private val count = AtomicInteger()
    val lost = CompletableDeferred<Unit>()
    val seen: Int get() = count.get()

    suspend fun <T> call(effect: () -> T): CallResult<T> {
        if (lost.isCompleted) {
            awaitCancellation()
        }
        val number = count.getAndIncrement()
        return when (val now = fault?.takeIf { it.effect == number }) {
            null -> CallResult.Done(effect())
            is Fault.LostReply -> {
                if (now.after) effect()
                CallResult.Unknown("lost on purpose")
            }
            is Fault.Crash -> {
                if (now.after) effect()
                lost.complete(Unit)
                awaitCancellation()
            }
        }
    }
}

/** A daemon without its listeners. */
internal class MemoryHost(world: MemoryWorld, name: String, template: Template, fault: Fault? = null) : AutoCloseable {
    val effects = Effects(fault)
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val control = Control(stateOf(name), systemClock)
    private val platform = world.platform(effects)
    private val groups = GroupCommit(control, platform)
    private val numbers = AtomicInteger()
    private val incarnations = { "$name-${numbers.incrementAndGet()}" }
    private val configuration = Configuration(Revision(1), persistentMapOf(template.name to template))
    val services = Services(
        control = control,
        clock = systemClock,
        newRequestId = { RequestId("$name.${numbers.incrementAndGet()}") },
        limits = Limits { Unit.right() },
        journal = groupJournal(control, platform, groups),
        records = tableRequestRecords(platform.queries),
        work = scope,
        ownership = Ownership({ null }, { null }),
        dispatcher = Dispatcher({ Permit(1, it.candidates.first(), CompletableDeferred()).right() }, { _, _, _ -> }),
        upstreams = world.upstreams(effects),
    )

    /** Starts to serve and to take over the journals of [lost] hosts. */
    suspend fun start(vararg lost: String) {
        control.run { state, _ -> followConfiguration(state, configuration) }
        control.run { state, now -> confirmRevision(state, configuration.revision, now) }
        control.run { state, _ -> changeJournal(state) { Step(it.copy(interval = 1.milliseconds), Unit) } }
        scope.launch { services.holdJournal(platform, groups, incarnations) }
        if (lost.isNotEmpty()) {
            scope.launch {
                services.takeOverJournals(platform, { lost.map { HostId(it) } }, incarnations, 2.milliseconds)
            }
        }
    }

    val holdsJournal: Boolean get() = control.snapshot.journal.writer != null

    override fun close() {
        scope.cancel()
        control.close()
    }
}

/** Whether nothing of the host [name] is left to recover. */
internal fun MemoryWorld.isSettled(name: String): Boolean =
    rows[journalKey(HostId(name))] == null && rowsUnder("open/").isEmpty()
