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
import figdeck.model.serving.OutputRunId
import figdeck.model.serving.noProgress
import figdeck.query.serving.longestOutput
import figdeck.store.Store
import figdeck.wire.serving.decodeSegment
import figdeck.wire.serving.itemPosition
import figdeck.wire.serving.progressKeyPrefix

/** Allows several rows for each item that one host runs concurrently. Items beyond the limit restart. */
private const val MAX_PROGRESS_ROWS = 2_000
private val log = PartLog("jobs")

/**
 * The saved prefix of an item's output.
 *
 * @property run the run that saved the last events; null if there are none.
 * @property keys the keys of the item's rows, those of other runs included.
 */
internal data class SavedOutput(
    val progress: ItemProgress,
    val run: OutputRunId?,
    val keys: List<String>,
)

/** Reads and writes the unfinished outputs of batch items in the store. */
internal class ProgressStore(private val store: Store) {
    /** Commits [writes], which add and remove rows of unfinished outputs. */
    suspend fun write(writes: List<RowWrite>): CallResult<CommitReply> =
        store.commands.commit(TableTransaction(emptyList(), writes))

    /** Reads the unfinished outputs of [id] by item position. */
    suspend fun read(id: JobId): CallResult<Map<Int, SavedOutput>> {
        val prefix = progressKeyPrefix(id)
        return store.queries.scanRows(prefix, prefix, MAX_PROGRESS_ROWS).map { rows ->
            rows.groupBy { itemPosition(id, it) }.mapNotNull { (position, segments) ->
                position?.let { it to savedOutput(segments) }
            }.toMap()
        }
    }

    private fun savedOutput(rows: List<Row>): SavedOutput {
        val longest = longestOutput(rows.mapNotNull { decodeSegment(it).orWarn(log) })
        return SavedOutput(longest?.progress ?: noProgress, longest?.run, rows.map { it.key })
    }
}
