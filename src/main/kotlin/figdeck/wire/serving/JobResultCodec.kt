package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.Row
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.JobResult
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

internal const val RESULT_TABLE = "jobresult"
private const val MAX_PART = 99_999

/** Separates the number of a part from the number of parts in the key of a row. */
private const val PART_COUNT_SEPARATOR = '.'

/** The result of an item as stored. */
@Serializable
internal data class JobResultDto(
    val item: String,
    val complete: Boolean,
    val output: String,
)

/** The writes that store [result] at [position], split over as many rows as needed. */
internal fun resultWrites(id: JobId, position: Int, result: JobResult): List<RowWrite> {
    val dto = JobResultDto(result.item, result.isComplete, result.output)
    val parts = splitIntoRowValues(lenientJson.encodeToString(JobResultDto.serializer(), dto))
    return parts.mapIndexed { i, part ->
        RowWrite(
            "${resultKeyPrefix(id)}${padded(position)}/${padded(i)}$PART_COUNT_SEPARATOR${parts.size}",
            part,
        )
    }
}

/** The prefix of the keys of the rows that hold the results of [id]. */
internal fun resultKeyPrefix(id: JobId): String = "$RESULT_TABLE/$id/"

/** A key that sorts after all rows of earlier positions and before those of [position]. */
internal fun keyBeforeResult(id: JobId, position: Int): String =
    if (position == 0) resultKeyPrefix(id) else "${resultKeyPrefix(id)}${padded(position - 1)}/${padded(MAX_PART)}"

/** The position of the result to which [row] belongs. */
internal fun resultPosition(id: JobId, row: Row): Int =
    row.key.removePrefix(resultKeyPrefix(id)).substringBefore('/').toInt()

/** Whether [rows] are all rows of one result. A page of a scan may end within a result. */
internal fun isCompleteResult(rows: List<Row>): Boolean =
    rows.size == rows.first().key.substringAfterLast(PART_COUNT_SEPARATOR).toIntOrNull()

/** Decodes the result that [rows] hold; they must be all rows of one position. */
internal fun decodeResult(rows: List<Row>): Either<String, JobResult> =
    decodeAs(rows.joinToString("") { it.value }, JobResultDto.serializer()) {
        JobResult(it.item, it.complete, it.output)
    }
