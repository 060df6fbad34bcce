package figdeck.wire.serving

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import figdeck.model.HostId
import figdeck.model.Row
import figdeck.model.RowWrite
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.util.Base64

/** The table of job records, by job. */
internal const val JOB_TABLE = "job"
private const val ITEM_TABLE = "jobitem"
private const val RESULT_TABLE = "jobresult"

/** A quarter of what a row holds, since a character may take three bytes. */
private const val ROW_CHARACTERS = 16_000
private const val NUMBER_WIDTH = 5
private const val LAST_PART = 99_999

/** Stands between the number of a part and the number of all parts. */
private const val COUNT_MARK = '.'

@Serializable
internal data class JobRecordDto(
    val team: String,
    val route: String,
    val submittedAt: Long,
    val total: Int,
    val tokens: Long,
    val results: Int,
    val ended: Boolean,
    val owner: String,
    val incarnation: String,
    val chunks: Int,
    val writeId: String,
)

@Serializable
internal data class JobItemDto(
    val id: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String,
    val tokens: Long,
)

@Serializable
internal data class JobResultDto(
    val item: String,
    val complete: Boolean,
    val output: String,
)

internal fun recordKey(id: JobId): String = "$JOB_TABLE/$id"

internal fun encodeJobRecord(record: JobRecord): String {
    val dto = JobRecordDto(
        team = record.team.value,
        route = record.route,
        submittedAt = record.submittedAt,
        total = record.total,
        tokens = record.tokens,
        results = record.results,
        ended = record.isEnded,
        owner = record.owner.host.value,
        incarnation = record.owner.incarnation,
        chunks = record.chunks,
        writeId = record.writeId,
    )
    return lenientJson.encodeToString(JobRecordDto.serializer(), dto)
}

internal fun decodeJobRecord(id: String, text: String): Either<String, JobRecord> =
    lenientJson.decode(JobRecordDto.serializer(), text).flatMap { dto ->
        try {
            JobRecord(
                id = JobId(id),
                team = TeamId(dto.team),
                route = dto.route,
                submittedAt = dto.submittedAt,
                total = dto.total,
                tokens = dto.tokens,
                results = dto.results,
                isEnded = dto.ended,
                owner = JobOwner(HostId(dto.owner), dto.incarnation),
                chunks = dto.chunks,
                writeId = dto.writeId,
            ).right()
        } catch (e: IllegalArgumentException) {
            "job '$id': ${e.message}".left()
        }
    }

internal fun encodeJobItems(items: List<JobItem>): String {
    val dtos = items.map { item ->
        JobItemDto(item.id, item.path, item.headers, Base64.getEncoder().encodeToString(item.body), item.tokens)
    }
    return lenientJson.encodeToString(ListSerializer(JobItemDto.serializer()), dtos)
}

internal fun decodeJobItems(text: String): Either<String, List<JobItem>> =
    lenientJson.decode(ListSerializer(JobItemDto.serializer()), text).map { dtos ->
        dtos.map { JobItem(it.id, it.path, it.headers, Base64.getDecoder().decode(it.body), it.tokens) }
    }

/** The rows that hold the items' [text]. */
internal fun itemWrites(id: JobId, text: String): List<RowWrite> =
    text.chunked(ROW_CHARACTERS).mapIndexed { i, part -> RowWrite("$ITEM_TABLE/$id/${number(i)}", part) }

/** The beginning of the keys of the rows that hold the items of [id]. */
internal fun itemPrefix(id: JobId): String = "$ITEM_TABLE/$id/"

/** The name of the object that holds the items of a job which is too large for rows. */
internal fun itemObject(id: JobId): String = "$ITEM_TABLE-$id"

/** The rows that hold [result] at [position]. */
internal fun resultWrites(id: JobId, position: Int, result: JobResult): List<RowWrite> {
    val dto = JobResultDto(result.item, result.isComplete, result.output)
    val parts = lenientJson.encodeToString(JobResultDto.serializer(), dto).chunked(ROW_CHARACTERS)
    return parts.mapIndexed { i, part ->
        RowWrite("${resultPrefix(id)}${number(position)}/${number(i)}$COUNT_MARK${parts.size}", part)
    }
}

/** The beginning of the keys of the rows that hold the results of [id]. */
internal fun resultPrefix(id: JobId): String = "$RESULT_TABLE/$id/"

/** The key after which the rows of [position] begin. */
internal fun beforeResult(id: JobId, position: Int): String =
    if (position == 0) resultPrefix(id) else "${resultPrefix(id)}${number(position - 1)}/${number(LAST_PART)}"

/** The position of the result that [row] belongs to. */
internal fun positionOf(id: JobId, row: Row): Int =
    row.key.removePrefix(resultPrefix(id)).substringBefore('/').toInt()

/** Whether [rows] are all rows of their position; a page may end in the middle. */
internal fun areWhole(rows: List<Row>): Boolean =
    rows.size == rows.first().key.substringAfterLast(COUNT_MARK).toIntOrNull()

/** The result that the [rows] of one position hold. */
internal fun decodeResult(rows: List<Row>): Either<String, JobResult> =
    lenientJson.decode(JobResultDto.serializer(), rows.joinToString("") { it.value })
        .map { JobResult(it.item, it.complete, it.output) }

private fun number(value: Int): String = value.toString().padStart(NUMBER_WIDTH, '0')
