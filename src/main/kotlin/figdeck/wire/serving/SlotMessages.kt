package figdeck.wire.serving

import arrow.core.Either
import figdeck.model.HostId
import figdeck.model.UpstreamId
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.model.serving.UpstreamStart
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/** The response to a slot request. If both fields are null, no upstream of the pool takes work. */
@Serializable
internal data class SlotResponseDto(
    val upstream: String? = null,
    val retryAfterMillis: Long? = null,
)

/** A slot that its holder still uses. */
@Serializable
internal data class HeldSlotDto(
    val ask: SlotRequestDto,
    val upstream: String,
)

/** All slots that the host [from] still uses. */
@Serializable
internal data class HeldSlotsDto(
    val from: String,
    val slots: List<HeldSlotDto>,
    val limits: List<UpstreamLimitDto> = emptyList(),
)

/** The tickets whose slots are revoked. */
@Serializable
internal data class RevocationDto(val tickets: List<Long>)

/**
 * All slots that the host [from] still uses.
 *
 * @property limits the requests that the upstreams of these slots take, as far as the host has heard of a limit.
 */
public data class HeldSlots(
    public val from: HostId,
    public val slots: List<HeldSlot>,
    public val limits: Map<UpstreamStart, ReportedLimit> = emptyMap(),
)

internal fun encodeSlotRequest(request: SlotRequest): String =
    lenientJson.encodeToString(SlotRequestDto.serializer(), request.toDto())

internal fun decodeSlotRequest(text: String): Either<String, SlotRequest> =
    decodeAs(text, SlotRequestDto.serializer()) { it.toSlotRequest() }

internal fun encodeSlotResponse(response: SlotResponse): String {
    val dto = when (response) {
        is SlotResponse.Granted -> SlotResponseDto(upstream = response.upstream.value)
        is SlotResponse.Full -> SlotResponseDto(retryAfterMillis = response.retryAfter.inWholeMilliseconds)
        SlotResponse.NoUpstream -> SlotResponseDto()
    }
    return lenientJson.encodeToString(SlotResponseDto.serializer(), dto)
}

internal fun decodeSlotResponse(text: String): Either<String, SlotResponse> =
    decodeAs(text, SlotResponseDto.serializer()) { dto ->
        when {
            dto.upstream != null -> SlotResponse.Granted(UpstreamId(dto.upstream))
            dto.retryAfterMillis != null -> SlotResponse.Full(dto.retryAfterMillis.milliseconds)
            else -> SlotResponse.NoUpstream
        }
    }

internal fun encodeHeldSlots(held: HeldSlots): String {
    val dto = HeldSlotsDto(
        from = held.from.value,
        slots = held.slots.map { HeldSlotDto(it.request.toDto(), it.upstream.value) },
        limits = held.limits.toLimitDtos(),
    )
    return lenientJson.encodeToString(HeldSlotsDto.serializer(), dto)
}

internal fun decodeHeldSlots(text: String): Either<String, HeldSlots> =
    decodeAs(text, HeldSlotsDto.serializer()) { dto ->
        HeldSlots(
            from = HostId(dto.from),
            slots = dto.slots.map { HeldSlot(it.ask.toSlotRequest(), UpstreamId(it.upstream)) },
            limits = dto.limits.toLimits(),
        )
    }

internal fun encodeRevocation(tickets: List<Long>): String =
    lenientJson.encodeToString(RevocationDto.serializer(), RevocationDto(tickets))

internal fun decodeRevocation(text: String): Either<String, List<Long>> =
    decodeAs(text, RevocationDto.serializer()) { it.tickets }
