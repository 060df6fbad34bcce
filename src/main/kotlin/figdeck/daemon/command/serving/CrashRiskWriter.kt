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
import figdeck.store.command.fitsOneTransaction
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
            writeAll(rows.associateBy { it.key }.values.toList())
        }
    }

    /** Writes [rows] in their order. A row that the store refuses by itself is left out. */
    private suspend fun writeAll(rows: List<RowWrite>) {
        var left = rows
        var limits = initialLimits
        while (left.isNotEmpty()) {
            val batch = left.takeFitting(limits.rows)
            val removals = removalsBeside(batch, limits.removals)
            when (val reply = store.commands.commit(TableTransaction(emptyList(), batch + removals))) {
                is CallResult.Done -> {
                    left = left.drop(batch.size)
                    limits = initialLimits
                }
                is CallResult.Refused -> {
                    if (batch.size == 1 && removals.isEmpty()) {
                        log.error { "the row ${batch.single().key} about a prompt can't be stored: ${reply.reason}" }
                        left = left.drop(1)
                    }
                    limits = limitsAfterRefusal(batch, removals, reply.reason)
                }
                is CallResult.NotDone, is CallResult.Unknown -> {
                    log.warn { "${left.size} rows about prompts are not in the store yet: $reply" }
                    delay(RETRY_DELAY)
                }
            }
        }
    }

    /** What is written next after [batch] and [removals] were refused: no removals, and else fewer rows. */
    private fun limitsAfterRefusal(batch: List<RowWrite>, removals: List<RowWrite>, reason: String): WriteLimits {
        log.warn { "the store refuses ${batch.size} rows and ${removals.size} removals about prompts: $reason" }
        return WriteLimits(if (removals.isEmpty()) (batch.size / 2).coerceAtLeast(1) else batch.size, removals = 0)
    }

    private fun removalsBeside(rows: List<RowWrite>, limit: Int): List<RowWrite> {
        val now = clock()
        val risks = control.snapshot.crashRisks
        val expired = risks.expiredCrashes(now) + risks.expiredClearances(now).map { soundKey(it) }
        val removals = expired.map { tableKey(it) }
            .filter { key -> rows.none { it.key == key } }
            .map { RowWrite(it, null) }
        return (rows + removals).takeFitting(rows.size + limit).drop(rows.size)
    }
}

/** How many rows the next write may hold, and how many removals beside them. */
private data class WriteLimits(
    val rows: Int,
    val removals: Int,
)

private val initialLimits = WriteLimits(MAX_ROWS_PER_WRITE, MAX_REMOVALS_PER_WRITE)

/** The first of these writes, as many as fit into one transaction, at most [limit] and at least one. */
private fun List<RowWrite>.takeFitting(limit: Int): List<RowWrite> {
    val sent = mutableListOf<RowWrite>()
    return take(limit).takeWhile { row ->
        sent += row
        sent.size == 1 || fitsOneTransaction(TableTransaction(emptyList(), sent))
    }
}

private fun tableKey(key: String): String = "$CRASH_RISK_TABLE/$key"
