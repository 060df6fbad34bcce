package figdeck.wire

import figdeck.model.BatchId
import figdeck.model.BatchJob
import figdeck.model.Epoch
import figdeck.model.GroupResult
import figdeck.model.HostId
import figdeck.model.RetainedJob
import figdeck.model.Revision
import figdeck.model.Segment
import figdeck.model.SegmentId
import figdeck.model.SegmentPointer
import figdeck.model.StoredJobState
import figdeck.model.TeamId
import kotlinx.serialization.Serializable

@Serializable
private data class JobRowDto(
    val id: String,
    val team: String,
    val digest: String,
    val resendKey: String,
    val host: String,
    val revision: Long,
    val acceptedAtMillis: Long,
    val segments: Int,
    val items: Int,
    val mark: String,
    val endedAtMillis: Long? = null,
)

@Serializable
private data class SegmentRowDto(
    val batch: String,
    val number: Int,
    val items: Int,
    val groups: List<GroupDto> = emptyList(),
)

@Serializable
private data class GroupDto(
    val key: String,
    val items: Int,
    val failed: Int,
    val host: String,
    val epoch: Long,
    val endedAtMillis: Long,
)

/** The JSON form of a [SegmentPointer]. */
@Serializable
private data class PointerDto(
    val batch: String,
    val number: Int,
    val team: String,
    val writtenAtMillis: Long,
)

/** The JSON form of a [RetainedJob]. */
@Serializable
private data class KeptDto(
    val batch: String,
    val team: String,
    val writtenAtMillis: Long,
)

internal fun encodeRetainedJob(job: RetainedJob): String =
    lenientJson.encodeToString(KeptDto.serializer(), KeptDto(job.id.value, job.team.value, job.writtenAtMillis))

internal fun decodeRetainedJob(text: String): RetainedJob =
    lenientJson.decodeFromString(KeptDto.serializer(), text).let {
        RetainedJob(BatchId(it.batch), TeamId(it.team), it.writtenAtMillis)
    }

internal fun encodeJob(job: BatchJob): String = lenientJson.encodeToString(
    JobRowDto.serializer(),
    JobRowDto(
        job.id.value,
        job.team.value,
        job.digest,
        job.idempotencyRowKey,
        job.host.value,
        job.revision.value,
        job.acceptedAtMillis,
        job.segments,
        job.items,
        job.storedState.name.lowercase(),
        job.endedAtMillis,
    ),
)

internal fun decodeJob(text: String): BatchJob = lenientJson.decodeFromString(JobRowDto.serializer(), text).let {
    BatchJob(
        BatchId(it.id),
        TeamId(it.team),
        it.digest,
        it.resendKey,
        HostId(it.host),
        Revision(it.revision),
        it.acceptedAtMillis,
        it.segments,
        it.items,
        StoredJobState.valueOf(it.mark.uppercase()),
        it.endedAtMillis,
    )
}

internal fun encodeSegment(segment: Segment): String {
    val groups = segment.groups.map {
        GroupDto(it.objectKey, it.items, it.failed, it.host.value, it.epoch.value, it.endedAtMillis)
    }
    val dto = SegmentRowDto(segment.id.batch.value, segment.id.number, segment.items, groups)
    return lenientJson.encodeToString(SegmentRowDto.serializer(), dto)
}

internal fun decodeSegment(text: String): Segment {
    val dto = lenientJson.decodeFromString(SegmentRowDto.serializer(), text)
    val groups = dto.groups.map {
        GroupResult(it.key, it.items, it.failed, HostId(it.host), Epoch(it.epoch), it.endedAtMillis)
    }
    return Segment(SegmentId(BatchId(dto.batch), dto.number), dto.items, groups)
}

internal fun encodePointer(pointer: SegmentPointer): String {
    val id = pointer.id
    val dto = PointerDto(id.batch.value, id.number, pointer.team.value, pointer.writtenAtMillis)
    return lenientJson.encodeToString(PointerDto.serializer(), dto)
}

internal fun decodePointer(text: String): SegmentPointer {
    val dto = lenientJson.decodeFromString(PointerDto.serializer(), text)
    return SegmentPointer(SegmentId(BatchId(dto.batch), dto.number), TeamId(dto.team), dto.writtenAtMillis)
}
