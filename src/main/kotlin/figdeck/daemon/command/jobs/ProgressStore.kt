package figdeck.daemon.command.jobs

import figdeck.log.PartLog
import figdeck.log.orWarn
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Row
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.map
import figdeck.model.serving.ItemProgress
import figdeck.model.serving.JobId
import figdeck.model.serving.noProgress
import figdeck.model.serving.withSegment
import figdeck.store.Store
import figdeck.wire.serving.decodeSegment
import figdeck.wire.serving.itemPosition
import figdeck.wire.serving.progressKeyPrefix

/** Several rows for each item that one host runs at a time; items beyond these begin anew. */
private const val MAX_PROGRESS_ROWS = 2_000
private val log = PartLog("jobs")

/** The beginning of an item's output in the store, and the rows that hold it. */
internal data class KeptOutput(
    val progress: ItemProgress,
    val keys: List<String>,
)

/** The unfinished outputs of batch items in the store. */
internal class ProgressStore(private val store: Store) {
    /** Writes and removes rows of unfinished outputs. */
    suspend fun keep(writes: List<RowWrite>): CallResult<CommitReply> =
        store.commands.commit(TableTransaction(emptyList(), writes))

    /** Reads the unfinished outputs of [id], by the item's position. */
    suspend fun read(id: JobId): CallResult<Map<Int, KeptOutput>> {
        val prefix = progressKeyPrefix(id)
        return store.queries.scanRows(prefix, prefix, MAX_PROGRESS_ROWS).map { rows ->
            rows.groupBy { itemPosition(id, it) }.mapNotNull { (position, segments) ->
                position?.let { it to keptOutput(segments) }
            }.toMap()
        }
    }

    private fun keptOutput(rows: List<Row>): KeptOutput {
        val progress = rows.mapNotNull { decodeSegment(it.value).orWarn(log) }
            .fold(noProgress) { all, segment -> all.withSegment(segment) }
        return KeptOutput(progress, rows.map { it.key })
    }
}
