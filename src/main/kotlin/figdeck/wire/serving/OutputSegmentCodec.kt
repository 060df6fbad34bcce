package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.Row
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.OutputRunId
import figdeck.model.serving.OutputSegment
import figdeck.model.serving.SavedSegment
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

/** Rows of the table `jobprogress`, which earlier versions write, name no run, so they are not read. */
internal const val RUN_TABLE = "jobruns"

/** A stored segment of the output of an item. */
@Serializable
private data class OutputSegmentDto(
    val start: Int,
    val firstId: Long,
    val events: List<String>,
    val continues: String? = null,
)

/** The write that stores [saved], of the output of the item at [position], under a key of its run alone. */
internal fun outputSegmentWrite(id: JobId, position: Int, saved: SavedSegment): RowWrite = with(saved.segment) {
    RowWrite(
        "${progressKeyPrefix(id)}${padded(position)}/${padded(start)}/${saved.run}",
        lenientJson.encodeToString(
            OutputSegmentDto.serializer(),
            OutputSegmentDto(start, firstId, events, saved.continues?.value)
        ),
    )
}

/** The prefix of the keys of the rows that hold unfinished outputs of [id]. */
internal fun progressKeyPrefix(id: JobId): String = "$RUN_TABLE/$id/"

/** The position of the item to whose output [row] belongs; null if the key contains no position. */
internal fun itemPosition(id: JobId, row: Row): Int? =
    row.key.removePrefix(progressKeyPrefix(id)).substringBefore('/').toIntOrNull()

internal fun decodeSegment(row: Row): Either<String, SavedSegment> =
    decodeAs(row.value, OutputSegmentDto.serializer()) { dto ->
        SavedSegment(
            OutputRunId(row.key.substringAfterLast('/')),
            dto.continues?.let { OutputRunId(it) },
            OutputSegment(dto.start, dto.firstId, dto.events),
        )
    }
