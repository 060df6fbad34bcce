package figdeck.wire

import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.IdempotencyRecord
import figdeck.model.Intent
import figdeck.model.JournalOwner
import figdeck.model.KeyHash
import figdeck.model.OpenRequest
import figdeck.model.RequestId
import figdeck.model.UpstreamId
import kotlinx.serialization.Serializable

@Serializable
internal data class OpenRequestDto(
    val id: String,
    val host: String,
    val epoch: Long,
    val intent: IntentDto? = null,
)

@Serializable
internal data class IntentDto(
    val upstream: String,
    val host: String,
    val atMillis: Long,
)

@Serializable
internal data class JournalOwnerDto(
    val host: String,
    val incarnation: String,
)

/** The JSON form of an [IdempotencyRecord]; [body] is the digest of the request. */
@Serializable
internal data class ResentRequestDto(
    val id: String,
    val body: String,
)

internal fun encodeOpenRequest(open: OpenRequest): String =
    lenientJson.encodeToString(OpenRequestDto.serializer(), open.toDto())

internal fun OpenRequest.toDto() = OpenRequestDto(
    id.value,
    host.value,
    epoch.value,
    intent?.let { IntentDto(it.upstream.value, it.host.value, it.atMillis) },
)

internal fun decodeOpenRequest(text: String): OpenRequest {
    val dto = lenientJson.decodeFromString(OpenRequestDto.serializer(), text)
    val intent = dto.intent?.let { Intent(UpstreamId(it.upstream), HostId(it.host), it.atMillis) }
    return OpenRequest(RequestId(dto.id), HostId(dto.host), Epoch(dto.epoch), intent)
}

internal fun encodeJournalOwner(owner: JournalOwner): String =
    lenientJson.encodeToString(JournalOwnerDto.serializer(), JournalOwnerDto(owner.host.value, owner.incarnation))

internal fun decodeJournalOwner(text: String): JournalOwner {
    val dto = lenientJson.decodeFromString(JournalOwnerDto.serializer(), text)
    return JournalOwner(HostId(dto.host), dto.incarnation)
}

internal fun encodeIdempotencyRecord(record: IdempotencyRecord): String =
    lenientJson.encodeToString(
        ResentRequestDto.serializer(),
        ResentRequestDto(record.id.value, record.requestDigest.hex),
    )

internal fun decodeIdempotencyRecord(text: String): IdempotencyRecord {
    val dto = lenientJson.decodeFromString(ResentRequestDto.serializer(), text)
    return IdempotencyRecord(RequestId(dto.id), KeyHash(dto.body))
}
