package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.HostId
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

/** The table that holds the record of each batch job under the id of the job. */
internal const val JOB_TABLE = "job"

/** The record of a batch job as stored. */
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
    val planVersion: Long? = null,
    val itemsId: String? = null,
)

/** The key of the row that holds the record of [id]. */
internal fun jobRecordKey(id: JobId): String = "$JOB_TABLE/$id"

internal fun encodeJobRecord(record: JobRecord): String {
    val dto = JobRecordDto(
        team = record.team.value,
        route = record.route,
        submittedAt = record.submittedAtMillis,
        total = record.total,
        tokens = record.tokens,
        results = record.results,
        ended = record.isEnded,
        owner = record.owner.host.value,
        incarnation = record.owner.incarnation,
        chunks = record.chunks,
        writeId = record.writeId,
        planVersion = record.planVersion,
        itemsId = record.itemsId,
    )
    return lenientJson.encodeToString(JobRecordDto.serializer(), dto)
}

internal fun decodeJobRecord(id: String, text: String): Either<String, JobRecord> =
    decodeAs(text, JobRecordDto.serializer()) { dto ->
        JobRecord(
            id = JobId(id),
            team = TeamId(dto.team),
            route = dto.route,
            submittedAtMillis = dto.submittedAt,
            total = dto.total,
            tokens = dto.tokens,
            results = dto.results,
            isEnded = dto.ended,
            owner = JobOwner(HostId(dto.owner), dto.incarnation),
            chunks = dto.chunks,
            writeId = dto.writeId,
            planVersion = dto.planVersion,
            itemsId = dto.itemsId,
        )
    }
