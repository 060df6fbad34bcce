package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.RowWrite
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.util.Base64

internal const val ITEM_TABLE = "jobitem"

/** The tables whose rows belong to jobs, with the id of the job in front of their keys. */
internal val JOB_CHILD_TABLES: List<String> = listOf(ITEM_TABLE, RESULT_TABLE, RUN_TABLE)

/** An item of a batch job as stored; the body is encoded as Base64. */
@Serializable
internal data class JobItemDto(
    val id: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String,
    val tokens: Long,
)

internal fun encodeJobItems(items: List<JobItem>): String =
    lenientJson.encodeToString(ListSerializer(JobItemDto.serializer()), items.map { it.toDto() })

internal fun JobItem.toDto(): JobItemDto =
    JobItemDto(id, path, headers, Base64.getEncoder().encodeToString(body), tokens)

internal fun JobItemDto.toItem(): JobItem = JobItem(id, path, headers, Base64.getDecoder().decode(body), tokens)

internal fun decodeJobItems(text: String): Either<String, List<JobItem>> =
    decodeAs(text, ListSerializer(JobItemDto.serializer())) { dtos ->
        dtos.map { it.toItem() }
    }

/** The writes that store the encoded items [text], split over as many rows as needed. */
internal fun itemWrites(id: JobId, text: String): List<RowWrite> =
    splitIntoRowValues(text).mapIndexed { i, part -> RowWrite("${itemKeyPrefix(id)}${padded(i)}", part) }

/** The keys of the rows that hold the items of [record]; none if an object holds them. */
internal fun itemKeys(record: JobRecord): List<String> =
    List(record.chunks) { "${itemKeyPrefix(record.id)}${padded(it)}" }

/** The prefix of the keys of the rows that hold the items of [id]. */
internal fun itemKeyPrefix(id: JobId): String = "$ITEM_TABLE/$id/"

/**
 * The key of the object that holds the items of a job that is too large for rows. Callers choose the ids of jobs, so
 * each submission has an object of its own, named by [itemsId].
 */
internal fun itemObjectKey(id: JobId, itemsId: String?): String =
    listOfNotNull(ITEM_TABLE, id, itemsId).joinToString("-")
