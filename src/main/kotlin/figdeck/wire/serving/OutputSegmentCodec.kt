package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.Row
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.OutputSegment
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

private const val PROGRESS_TABLE = "jobprogress"

/** A stored segment of the output of an item. */
@Serializable
private data class OutputSegmentDto(
    val start: Int,
    val firstId: Long,
    val events: List<String>,
)

/** The write that stores [segment] of the output of the item at [position]. */
internal fun outputSegmentWrite(id: JobId, position: Int, segment: OutputSegment): RowWrite = RowWrite(
    "${progressKeyPrefix(id)}${padded(position)}/${padded(segment.start)}",
    lenientJson.encodeToString(
        OutputSegmentDto.serializer(),
        OutputSegmentDto(segment.start, segment.firstId, segment.events)
    ),
)

/** The prefix of the keys of the rows that hold unfinished outputs of [id]. */
internal fun progressKeyPrefix(id: JobId): String = "$PROGRESS_TABLE/$id/"

/** The position of the item to whose output [row] belongs; null if the key contains no position. */
internal fun itemPosition(id: JobId, row: Row): Int? =
    row.key.removePrefix(progressKeyPrefix(id)).substringBefore('/').toIntOrNull()

internal fun decodeSegment(text: String): Either<String, OutputSegment> =
    decodeAs(text, OutputSegmentDto.serializer()) { OutputSegment(it.start, it.firstId, it.events) }
