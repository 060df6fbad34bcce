package figdeck.wire.serving

import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.UpstreamStart
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

/** What an upstream said [ageMillis] ago about the requests that it takes; without [perSecond] it named no limit. */
@Serializable
internal data class ReportedLimitDto(
    val perSecond: Double? = null,
    val ageMillis: Long,
)

/** The limit of an upstream that started at [startedAtMillis], if that is known. */
@Serializable
internal data class UpstreamLimitDto(
    val upstream: String,
    val startedAtMillis: Long? = null,
    val limit: ReportedLimitDto,
)

internal fun ReportedLimit.toDto(): ReportedLimitDto = ReportedLimitDto(
    perSecond = when (val told = rate) {
        AdvertisedRate.Unlimited -> null
        is AdvertisedRate.Limited -> told.requestsPerSecond
    },
    ageMillis = age.inWholeMilliseconds,
)

internal fun ReportedLimitDto.toReportedLimit(): ReportedLimit =
    ReportedLimit(perSecond?.let { AdvertisedRate.Limited(it) } ?: AdvertisedRate.Unlimited, ageMillis.milliseconds)

internal fun Map<UpstreamStart, ReportedLimit>.toLimitDtos(): List<UpstreamLimitDto> =
    map { (start, limit) -> UpstreamLimitDto(start.id.value, start.startedAtMillis, limit.toDto()) }

internal fun List<UpstreamLimitDto>.toLimits(): Map<UpstreamStart, ReportedLimit> =
    associate { UpstreamStart(UpstreamId(it.upstream), it.startedAtMillis) to it.limit.toReportedLimit() }
