package figdeck.wire.serving

import arrow.core.Either
import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.UpstreamId
import figdeck.model.serving.CrashReport
import figdeck.model.serving.CrashRiskRow
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.PromptPart
import figdeck.model.serving.RequestFingerprint
import figdeck.model.serving.UpstreamStart
import figdeck.wire.decodeAs
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable

/** The table in which hosts report what may crash upstreams. */
internal const val CRASH_RISK_TABLE = "promptrisk"
private const val HEX_RADIX = 16

/**
 * A row of the table as stored: either a report, with its request and upstream, or the suspect that is sound. Hosts of
 * an earlier version don't tell when the upstream started.
 */
@Serializable
internal data class CrashRiskDto(
    val writtenAt: Long,
    val request: String? = null,
    val upstream: String? = null,
    val upstreamStartedAt: Long? = null,
    val suspects: List<String> = emptyList(),
    val fingerprint: String? = null,
    val sound: String? = null,
    val soundRequest: String? = null,
)

/** The key, within the table, of the report with the random [number]. */
internal fun crashKey(number: Long): String = "crash-${number.toULong().toString(HEX_RADIX)}"

/** The key, within the table, of the row that clears [suspect]. Callers choose the ids of parts, of any length. */
internal fun soundKey(suspect: CrashSuspect): String {
    val prefix = when (suspect) {
        is PromptPart -> "sound"
        is RequestFingerprint -> "sound-request"
    }
    return "$prefix-${Hashing.komihash5_0().hashCharsToLong(suspect.id).toULong().toString(HEX_RADIX)}"
}

internal fun encodeCrashRisk(row: CrashRiskRow): String {
    val dto = when (row) {
        is CrashRiskRow.Crash -> CrashRiskDto(
            writtenAt = row.writtenAtMillis,
            request = row.report.request,
            upstream = row.report.start.id.value,
            upstreamStartedAt = row.report.start.startedAtMillis,
            suspects = row.report.suspects.filterIsInstance<PromptPart>().map { it.id },
            fingerprint = row.report.suspects.filterIsInstance<RequestFingerprint>().singleOrNull()?.id,
        )
        is CrashRiskRow.Sound -> when (val suspect = row.suspect) {
            is PromptPart -> CrashRiskDto(row.writtenAtMillis, sound = suspect.id)
            is RequestFingerprint -> CrashRiskDto(row.writtenAtMillis, soundRequest = suspect.id)
        }
    }
    return lenientJson.encodeToString(CrashRiskDto.serializer(), dto)
}

/** Decodes a row, or returns why it is invalid. */
internal fun decodeCrashRisk(text: String): Either<String, CrashRiskRow> =
    decodeAs(text, CrashRiskDto.serializer()) { it.toRow() }

private fun CrashRiskDto.toRow(): CrashRiskRow = when {
    sound != null -> CrashRiskRow.Sound(PromptPart(sound), writtenAt)
    soundRequest != null -> CrashRiskRow.Sound(RequestFingerprint(soundRequest), writtenAt)
    else -> {
        val report = CrashReport(
            request = requireNotNull(request) { "the report names no request" },
            start = UpstreamStart(
                id = UpstreamId(requireNotNull(upstream) { "the report names no upstream" }),
                startedAtMillis = upstreamStartedAt,
            ),
            suspects = (suspects.map { PromptPart(it) } + listOfNotNull(fingerprint?.let { RequestFingerprint(it) }))
                .toSet(),
        )
        CrashRiskRow.Crash(report, writtenAt)
    }
}
