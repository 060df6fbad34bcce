package figdeck.daemon.command.serving

import figdeck.control.Control
import figdeck.control.serving.initialServingState
import figdeck.daemon.query.serving.TableFollower
import figdeck.daemon.query.serving.crashRiskFollower
import figdeck.log.DecisionLog
import figdeck.log.LineWriter
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Moment
import figdeck.model.Row
import figdeck.model.TableTransaction
import figdeck.store.Store
import figdeck.store.command.StoreCommands
import figdeck.store.query.Lookup
import figdeck.store.query.RowChange
import figdeck.store.query.StoreQueries
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val discardedLog = LineWriter(PrintStream(OutputStream.nullOutputStream()))

/** The prompt guards of several hosts that follow one table, in virtual time. */
internal class GuardedFleet(hosts: Int) : AutoCloseable {
    /** Writers go on in the thread that submits a row, so [settle] sees each write. */
    private val scope = CoroutineScope(Dispatchers.Unconfined)
    private val writes = AtomicInteger()
    private val mutex = Mutex()
    private val followers = CopyOnWriteArrayList<TableFollower>()
    private val table = mutableMapOf<String, Row>()
    private var version = 0L

    /** Whether the table takes no writes. */
    @Volatile
    var isStoreDown = false

    @Volatile
    private var now = Moment(0, 0)
    private val controls = List(hosts) { Control(initialServingState(fleetMember("host-$it")), { now }) }
    val guards: List<CrashGuard> = controls.mapIndexed { i, control ->
        val writer = CrashRiskWriter(control, { now }, store())
        val guard = CrashGuard(control, { now }, writer, Random(i), DecisionLog("prompts", discardedLog))
        followers += crashRiskFollower(control, guard::onReports)
        scope.launch { writer.writeRows() }
        guard
    }

    fun advance(duration: Duration) {
        now += duration
    }

    /** Waits until all rows are written and followed. */
    suspend fun settle() {
        while (writes.get() > 0) {
            delay(1.milliseconds)
        }
    }

    override fun close() {
        scope.cancel()
        controls.forEach { it.close() }
    }

    private fun store() = Store(
        StoreCommands(
            commit = { transaction ->
                writes.incrementAndGet()
                commit(transaction).also { writes.decrementAndGet() }
            },
            putObject = { _, _ -> CallResult.Done(Unit) },
            deleteObject = { CallResult.Done(Unit) },
        ),
        StoreQueries(
            readRow = { CallResult.Done(Lookup(null)) },
            scanRows = { _, _, _ -> CallResult.Done(emptyList()) },
            readObject = { CallResult.Done(Lookup(null)) },
            listHosts = { CallResult.Done(emptyList()) },
        ),
    )

    private suspend fun commit(transaction: TableTransaction): CallResult<CommitReply> = mutex.withLock {
        if (isStoreDown) {
            CallResult.NotDone("the store is down")
        } else {
            version++
            val changes = transaction.writes.map { write ->
                val key = write.key.substringAfter('/')
                RowChange(key, write.value?.let { Row(key, it, version) })
            }
            changes.forEach { change -> change.row?.let { table[change.key] = it } ?: table.remove(change.key) }
            followers.forEach { it.change(changes) }
            CallResult.Done(CommitReply.Committed(version))
        }
    }
}
