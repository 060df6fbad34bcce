package figdeck.wire.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.dispatch.UseResult
import figdeck.command.serving.TakeResult
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotAnswer
import figdeck.model.serving.SlotAsk
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

@Serializable
internal data class SlotAskDto(
    val ticket: Long,
    val from: String,
    val pool: String,
    val team: String? = null,
    val batch: Boolean = false,
    val cost: Int = 1,
    val affinity: Long? = null,
    val without: List<String> = emptyList(),
    val patienceMillis: Long,
)

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

@Serializable
internal data class TakeDto(val team: String)

@Serializable
internal data class TakeResultDto(
    val taken: Boolean,
    val waitMicros: Long,
)

/** The end of the use of a slot, as its holder tells it. */
public data class SlotRelease(
    public val ticket: Long,
    public val use: UseResult,
    public val cost: Int,
)

/** What a holder still uses. */
public data class HeldSlots(
    public val from: HostId,
    public val slots: List<HeldSlot>,
)

internal fun encodeSlotAsk(ask: SlotAsk): String = lenientJson.encodeToString(SlotAskDto.serializer(), ask.toDto())

internal fun decodeSlotAsk(text: String): Either<String, SlotAsk> = read(text, SlotAskDto.serializer()) { it.toAsk() }

internal fun encodeSlotAnswer(answer: SlotAnswer): String {
    val dto = when (answer) {
        is SlotAnswer.Granted -> SlotAnswerDto(upstream = answer.upstream.value)
        is SlotAnswer.Full -> SlotAnswerDto(retryAfterMillis = answer.retryAfter.inWholeMilliseconds)
        SlotAnswer.NoUpstream -> SlotAnswerDto()
    }
    return lenientJson.encodeToString(SlotAnswerDto.serializer(), dto)
}

internal fun decodeSlotAnswer(text: String): Either<String, SlotAnswer> =
    read(text, SlotAnswerDto.serializer()) { dto ->
        when {
            dto.upstream != null -> SlotAnswer.Granted(UpstreamId(dto.upstream))
            dto.retryAfterMillis != null -> SlotAnswer.Full(dto.retryAfterMillis.milliseconds)
            else -> SlotAnswer.NoUpstream
        }
    }

internal fun encodeHeldSlots(held: HeldSlots): String {
    val dto = HeldSlotsDto(held.from.value, held.slots.map { HeldSlotDto(it.ask.toDto(), it.upstream.value) })
    return lenientJson.encodeToString(HeldSlotsDto.serializer(), dto)
}

internal fun decodeHeldSlots(text: String): Either<String, HeldSlots> =
    read(text, HeldSlotsDto.serializer()) { dto ->
        HeldSlots(HostId(dto.from), dto.slots.map { HeldSlot(it.ask.toAsk(), UpstreamId(it.upstream)) })
    }

internal fun encodeSlotRelease(release: SlotRelease): String {
    val dto = SlotReleaseDto(release.ticket, release.use.name, release.cost)
    return lenientJson.encodeToString(SlotReleaseDto.serializer(), dto)
}

internal fun decodeSlotRelease(text: String): Either<String, SlotRelease> =
    read(text, SlotReleaseDto.serializer()) { SlotRelease(it.ticket, UseResult.valueOf(it.use), it.cost) }

internal fun encodeRevoked(tickets: List<Long>): String =
    lenientJson.encodeToString(RevokedDto.serializer(), RevokedDto(tickets))

internal fun decodeRevoked(text: String): Either<String, List<Long>> =
    read(text, RevokedDto.serializer()) { it.tickets }

internal fun encodeTake(team: TeamId): String = lenientJson.encodeToString(TakeDto.serializer(), TakeDto(team.value))

internal fun decodeTake(text: String): Either<String, TeamId> = read(text, TakeDto.serializer()) { TeamId(it.team) }

internal fun encodeTakeResult(result: TakeResult): String {
    val dto = TakeResultDto(result.taken, result.wait.inWholeMicroseconds)
    return lenientJson.encodeToString(TakeResultDto.serializer(), dto)
}

internal fun decodeTakeResult(text: String): Either<String, TakeResult> =
    read(text, TakeResultDto.serializer()) { TakeResult(it.taken, it.waitMicros.microseconds) }

private fun SlotAsk.toDto(): SlotAskDto = SlotAskDto(
    ticket = ticket,
    from = from.value,
    pool = pool.value,
    team = team?.value,
    batch = lane == Lane.BATCH,
    cost = cost,
    affinity = affinity,
    without = without.map { it.value },
    patienceMillis = patience.inWholeMilliseconds,
)

private fun SlotAskDto.toAsk(): SlotAsk = SlotAsk(
    ticket = ticket,
    from = HostId(from),
    pool = PoolName(pool),
    team = team?.let { TeamId(it) },
    lane = if (batch) Lane.BATCH else Lane.ONLINE,
    cost = cost,
    affinity = affinity,
    without = without.map { UpstreamId(it) }.toSet(),
    patience = patienceMillis.milliseconds,
)

private fun <D, T> read(
    text: String,
    strategy: DeserializationStrategy<D>,
    create: (D) -> T,
): Either<String, T> = lenientJson.decode(strategy, text).fold(
    { it.left() },
    { dto ->
        try {
            create(dto).right()
        } catch (e: IllegalArgumentException) {
            (e.message ?: "not valid").left()
        }
    },
)
