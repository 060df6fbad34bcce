package figdeck.wire.serving

import arrow.core.Either
import figdeck.command.dispatch.SlotOutcome
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.SlotUsage
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The release of a slot by its holder.
 *
 * @property ticket the ticket of the request to which the slot was granted.
 * @property outcome how the use of the slot ended.
 * @property isLeaving whether the upstream has said to the holder that it is shutting down.
 * @property usage what the holder has seen of a generation in the slot; null if it saw none.
 * @property coldRemaining how long the upstream stays cold, as the holder knows; null if it isn't cold.
 * @property startedAtMillis the start of the upstream in Unix milliseconds, if the release [concernsUpstream]; null if
 * it is unknown, as it is from hosts of an earlier version.
 * @property limit the requests that the upstream takes, as the holder knows; null if it knows of no limit.
 */
public data class SlotRelease(
    public val ticket: Long,
    public val outcome: SlotOutcome,
    public val cost: Int,
    public val isLeaving: Boolean = false,
    public val usage: SlotUsage? = null,
    public val coldRemaining: Duration? = null,
    public val startedAtMillis: Long? = null,
    public val limit: ReportedLimit? = null,
) {
    /** Whether the release tells something of the upstream that may not be true of its next start. */
    public val concernsUpstream: Boolean
        get() = isLeaving || coldRemaining != null || limit != null || outcome == SlotOutcome.GONE
}

/** The release of a slot by its holder. */
@Serializable
internal data class SlotReleaseDto(
    val ticket: Long,
    val use: String,
    val cost: Int,
    val leaving: Boolean = false,
    val usage: SlotUsageDto? = null,
    val coldMillis: Long? = null,
    val startedAtMillis: Long? = null,
    val limit: ReportedLimitDto? = null,
)

/** What the holder of a slot has seen of the work in it. */
@Serializable
internal data class SlotUsageDto(
    val outputTokens: Int,
    val firstEventMillis: Long? = null,
    val streamingMillis: Long = 0,
    val whole: Boolean = false,
)

internal fun encodeSlotRelease(release: SlotRelease): String {
    val usage = release.usage?.let {
        SlotUsageDto(
            outputTokens = it.outputTokens,
            firstEventMillis = it.timeToFirstEvent?.inWholeMilliseconds,
            streamingMillis = it.streamingTime.inWholeMilliseconds,
            whole = it.isWhole,
        )
    }
    val dto = SlotReleaseDto(
        ticket = release.ticket,
        use = release.outcome.name,
        cost = release.cost,
        leaving = release.isLeaving,
        usage = usage,
        coldMillis = release.coldRemaining?.inWholeMilliseconds,
        startedAtMillis = release.startedAtMillis,
        limit = release.limit?.toDto(),
    )
    return lenientJson.encodeToString(SlotReleaseDto.serializer(), dto)
}

internal fun decodeSlotRelease(text: String): Either<String, SlotRelease> =
    decodeAs(text, SlotReleaseDto.serializer()) {
        SlotRelease(
            ticket = it.ticket,
            outcome = SlotOutcome.valueOf(it.use),
            cost = it.cost,
            isLeaving = it.leaving,
            usage = it.usage?.toUsage(),
            coldRemaining = it.coldMillis?.milliseconds,
            startedAtMillis = it.startedAtMillis,
            limit = it.limit?.toReportedLimit(),
        )
    }

private fun SlotUsageDto.toUsage() = SlotUsage(
    outputTokens = outputTokens,
    timeToFirstEvent = firstEventMillis?.milliseconds,
    streamingTime = streamingMillis.milliseconds,
    isWhole = whole,
)
