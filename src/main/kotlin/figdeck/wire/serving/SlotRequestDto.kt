package figdeck.wire.serving

import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Region
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.WorkFeatures
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/** A request for a slot, sent to the host that assigns the slots of the pool. */
@Serializable
internal data class SlotRequestDto(
    val ticket: Long,
    val from: String,
    val pool: String,
    val team: String? = null,
    val batch: Boolean = false,
    val cost: Int = 1,
    val affinity: Long? = null,
    val without: List<String> = emptyList(),
    val patienceMillis: Long,
    val ageMillis: Long = 0,
    val tardy: Boolean = false,
    val spentMillis: Long = 0,
    val homes: List<String>? = null,
    val features: WorkFeaturesDto? = null,
)

/** What a generation tells about its work. */
@Serializable
internal data class WorkFeaturesDto(
    val route: String,
    val promptTokens: Int,
    val sharedTokens: Int = 0,
    val maxOutputTokens: Int,
    val hintedOutputTokens: Int? = null,
)

internal fun SlotRequest.toDto(): SlotRequestDto = SlotRequestDto(
    ticket = ticket,
    from = from.value,
    pool = pool.value,
    team = team?.value,
    batch = lane == Lane.BATCH,
    cost = cost,
    affinity = affinity,
    without = excluded.map { it.value },
    patienceMillis = maxWait.inWholeMilliseconds,
    ageMillis = age.inWholeMilliseconds,
    tardy = willMissDeadline,
    spentMillis = slotTimeUsed.inWholeMilliseconds,
    homes = homes?.map { it.value },
    features = features?.toDto(),
)

internal fun SlotRequestDto.toSlotRequest(): SlotRequest = SlotRequest(
    ticket = ticket,
    from = HostId(from),
    pool = PoolName(pool),
    team = team?.let { TeamId(it) },
    lane = if (batch) Lane.BATCH else Lane.ONLINE,
    cost = cost,
    affinity = affinity,
    excluded = without.map { UpstreamId(it) }.toSet(),
    maxWait = patienceMillis.milliseconds,
    age = ageMillis.milliseconds,
    willMissDeadline = tardy,
    slotTimeUsed = spentMillis.milliseconds,
    homes = homes?.map { Region(it) }?.toSet(),
    features = features?.toFeatures(),
)

private fun WorkFeatures.toDto() =
    WorkFeaturesDto(route, promptTokens, sharedTokens, maxOutputTokens, hintedOutputTokens)

private fun WorkFeaturesDto.toFeatures() =
    WorkFeatures(route, promptTokens, sharedTokens, maxOutputTokens, hintedOutputTokens)
