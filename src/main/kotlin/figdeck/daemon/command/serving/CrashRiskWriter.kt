package figdeck.daemon.command.serving

import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.log.PartLog
import figdeck.model.CallResult
import figdeck.model.Clock
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.serving.CrashRiskRow
import figdeck.query.serving.expiredClearances
import figdeck.query.serving.expiredCrashes
import figdeck.store.Store
import figdeck.wire.serving.CRASH_RISK_TABLE
import figdeck.wire.serving.encodeCrashRisk
import figdeck.wire.serving.soundKey
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_PENDING_ROWS = 256

/** A transaction holds a hundred rows. */
private const val MAX_ROWS_PER_WRITE = 60
private const val MAX_REMOVALS_PER_WRITE = 30
private val RETRY_DELAY = 250.milliseconds
private val log = PartLog("prompts")

/** Writes the rows of this host about what may crash upstreams to the store, in their order. */
internal class CrashRiskWriter(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val store: Store,
) {
    private val pendingRows = Channel<RowWrite>(MAX_PENDING_ROWS, BufferOverflow.DROP_OLDEST)

    /** Queues [row] under [key], a key within the table. */
    fun submit(key: String, row: CrashRiskRow) {
        pendingRows.trySend(RowWrite(tableKey(key), encodeCrashRisk(row)))
    }

    /** Writes queued rows until cancelled, and removes those that no longer count. */
    suspend fun writeRows() {
        while (true) {
            val rows = mutableListOf(pendingRows.receive())
            while (rows.size < MAX_ROWS_PER_WRITE) {
                rows += pendingRows.tryReceive().getOrNull() ?: break
            }
            // A transaction writes a key once.
            val latest = rows.associateBy { it.key }.values.toList()
            while (!write(latest)) {
                delay(RETRY_DELAY)
            }
        }
    }

    private suspend fun write(rows: List<RowWrite>): Boolean {
        val reply = store.commands.commit(TableTransaction(emptyList(), rows + removalsBeside(rows)))
        if (reply !is CallResult.Done) {
            log.warn { "${rows.size} rows about prompts are not in the store yet: $reply" }
        }
        return reply is CallResult.Done
    }

    private fun removalsBeside(rows: List<RowWrite>): List<RowWrite> {
        val now = clock()
        val risks = control.snapshot.crashRisks
        val expired = risks.expiredCrashes(now) + risks.expiredClearances(now).map { soundKey(it) }
        return expired.map { tableKey(it) }
            .filter { key -> rows.none { it.key == key } }
            .take(MAX_REMOVALS_PER_WRITE)
            .map { RowWrite(it, null) }
    }
}

private fun tableKey(key: String): String = "$CRASH_RISK_TABLE/$key"
