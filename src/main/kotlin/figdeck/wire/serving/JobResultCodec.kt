package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.Row
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.JobResult
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

private const val RESULT_TABLE = "jobresult"
private const val MAX_PART = 99_999

/** Stands between the number of a part and the number of all parts. */
private const val PART_COUNT_SEPARATOR = '.'

@Serializable
internal data class JobResultDto(
    val item: String,
    val complete: Boolean,
    val output: String,
)

/** The rows that hold [result] at [position]. */
internal fun resultWrites(id: JobId, position: Int, result: JobResult): List<RowWrite> {
    val dto = JobResultDto(result.item, result.isComplete, result.output)
    val parts = lenientJson.encodeToString(JobResultDto.serializer(), dto).chunked(MAX_ROW_CHARACTERS)
    return parts.mapIndexed { i, part ->
        RowWrite(
            "${resultKeyPrefix(id)}${padded(position)}/${padded(i)}$PART_COUNT_SEPARATOR${parts.size}",
            part,
        )
    }
}

/** The beginning of the keys of the rows that hold the results of [id]. */
internal fun resultKeyPrefix(id: JobId): String = "$RESULT_TABLE/$id/"

/** The key after which the rows of [position] begin. */
internal fun keyBeforeResult(id: JobId, position: Int): String =
    if (position == 0) resultKeyPrefix(id) else "${resultKeyPrefix(id)}${padded(position - 1)}/${padded(MAX_PART)}"

/** The position of the result that [row] belongs to. */
internal fun resultPosition(id: JobId, row: Row): Int =
    row.key.removePrefix(resultKeyPrefix(id)).substringBefore('/').toInt()

/** Whether [rows] are all rows of their position; a page may end in the middle. */
internal fun isCompleteResult(rows: List<Row>): Boolean =
    rows.size == rows.first().key.substringAfterLast(PART_COUNT_SEPARATOR).toIntOrNull()

/** The result that the [rows] of one position hold. */
internal fun decodeResult(rows: List<Row>): Either<String, JobResult> =
    decodeAs(rows.joinToString("") { it.value }, JobResultDto.serializer()) {
        JobResult(it.item, it.complete, it.output)
    }
