package figdeck.wire.serving

import arrow.core.Either
import figdeck.command.dispatch.SlotOutcome
import figdeck.model.HostId
import figdeck.model.UpstreamId
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

@Serializable
internal data class SlotAnswerDto(
    val upstream: String? = null,
    val retryAfterMillis: Long? = null,
)

@Serializable
internal data class HeldSlotDto(
    val ask: SlotAskDto,
    val upstream: String,
)

@Serializable
internal data class HeldSlotsDto(
    val from: String,
    val slots: List<HeldSlotDto>,
)

@Serializable
internal data class SlotReleaseDto(
    val ticket: Long,
    val use: String,
    val cost: Int,
)

@Serializable
internal data class RevokedDto(val tickets: List<Long>)

/** The end of the use of a slot, as its holder tells it. */
public data class SlotRelease(
    public val ticket: Long,
    public val use: SlotOutcome,
    public val cost: Int,
)

/** What a holder still uses. */
public data class HeldSlots(
    public val from: HostId,
    public val slots: List<HeldSlot>,
)

internal fun encodeSlotAsk(ask: SlotRequest): String = lenientJson.encodeToString(SlotAskDto.serializer(), ask.toDto())

internal fun decodeSlotAsk(text: String): Either<String, SlotRequest> = decodeAs(
    text,
    SlotAskDto.serializer()
) { it.toAsk() }

internal fun encodeSlotAnswer(answer: SlotResponse): String {
    val dto = when (answer) {
        is SlotResponse.Granted -> SlotAnswerDto(upstream = answer.upstream.value)
        is SlotResponse.Full -> SlotAnswerDto(retryAfterMillis = answer.retryAfter.inWholeMilliseconds)
        SlotResponse.NoUpstream -> SlotAnswerDto()
    }
    return lenientJson.encodeToString(SlotAnswerDto.serializer(), dto)
}

internal fun decodeSlotAnswer(text: String): Either<String, SlotResponse> =
    decodeAs(text, SlotAnswerDto.serializer()) { dto ->
        when {
            dto.upstream != null -> SlotResponse.Granted(UpstreamId(dto.upstream))
            dto.retryAfterMillis != null -> SlotResponse.Full(dto.retryAfterMillis.milliseconds)
            else -> SlotResponse.NoUpstream
        }
    }

internal fun encodeHeldSlots(held: HeldSlots): String {
    val dto = HeldSlotsDto(held.from.value, held.slots.map { HeldSlotDto(it.request.toDto(), it.upstream.value) })
    return lenientJson.encodeToString(HeldSlotsDto.serializer(), dto)
}

internal fun decodeHeldSlots(text: String): Either<String, HeldSlots> =
    decodeAs(text, HeldSlotsDto.serializer()) { dto ->
        HeldSlots(HostId(dto.from), dto.slots.map { HeldSlot(it.ask.toAsk(), UpstreamId(it.upstream)) })
    }

internal fun encodeSlotRelease(release: SlotRelease): String {
    val dto = SlotReleaseDto(release.ticket, release.use.name, release.cost)
    return lenientJson.encodeToString(SlotReleaseDto.serializer(), dto)
}

internal fun decodeSlotRelease(text: String): Either<String, SlotRelease> =
    decodeAs(text, SlotReleaseDto.serializer()) { SlotRelease(it.ticket, SlotOutcome.valueOf(it.use), it.cost) }

internal fun encodeRevoked(tickets: List<Long>): String =
    lenientJson.encodeToString(RevokedDto.serializer(), RevokedDto(tickets))

internal fun decodeRevoked(text: String): Either<String, List<Long>> =
    decodeAs(text, RevokedDto.serializer()) { it.tickets }
