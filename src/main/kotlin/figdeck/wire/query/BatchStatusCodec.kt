package figdeck.wire.query

import figdeck.model.BatchStatus
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
private data class BatchStatusDto(
    val id: String,
    val state: String,
    val items: Int,
    val finished: Int,
    val failed: Int,
    @SerialName("accepted_at_millis") val acceptedAtMillis: Long,
    @SerialName("ended_at_millis") val endedAtMillis: Long? = null,
)

internal fun encodeBatchStatus(status: BatchStatus): String {
    val job = status.job
    val dto = BatchStatusDto(
        id = job.id.value,
        state = status.state.name.lowercase(),
        items = job.items,
        finished = status.finished,
        failed = status.failed,
        acceptedAtMillis = job.acceptedAtMillis,
        endedAtMillis = job.endedAtMillis,
    )
    return lenientJson.encodeToString(BatchStatusDto.serializer(), dto)
}
