package figdeck.daemon.query.serving

import figdeck.command.serving.clear
import figdeck.command.serving.dropClearance
import figdeck.command.serving.dropCrash
import figdeck.command.serving.putCrash
import figdeck.command.serving.replaceRisks
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updateCrashRisks
import figdeck.log.PartLog
import figdeck.log.orWarn
import figdeck.model.Moment
import figdeck.model.Row
import figdeck.model.serving.Clearance
import figdeck.model.serving.CrashRiskRow
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.KnownCrash
import figdeck.store.query.RowChange
import figdeck.wire.serving.decodeCrashRisk
import figdeck.wire.serving.soundKey
import kotlin.time.Duration.Companion.milliseconds

private val log = PartLog("prompts")

/**
 * Returns a follower of the hosts' reports of lost upstreams.
 *
 * @param onReports receives the suspects of new reports, and those that are quarantined since.
 */
internal fun crashRiskFollower(
    control: Control<ServingState>,
    onReports: suspend (suspects: Set<CrashSuspect>, quarantined: Set<CrashSuspect>) -> Unit,
): TableFollower = TableFollower(
    replace = { rows ->
        val read = rows.mapNotNull { readRow(it) }
        onReports(read.suspects(), control.run { state, now -> updateCrashRisks(state) { it.replacedBy(read, now) } })
    },
    change = { changes ->
        val read = changes.map { ChangedRow(it, it.row?.let { row -> readRow(row) }) }
        val quarantined = control.run { state, now ->
            updateCrashRisks(state) { risks -> read.fold(risks) { all, changed -> all.after(changed, now) } }
        }
        onReports(read.mapNotNull { it.content }.suspects(), quarantined)
    },
)

private data class StoredRisk(
    val row: Row,
    val content: CrashRiskRow,
)

private data class ChangedRow(
    val change: RowChange,
    val content: StoredRisk?,
)

private fun readRow(row: Row): StoredRisk? = decodeCrashRisk(row.value).orWarn(log)?.let { StoredRisk(row, it) }

private fun List<StoredRisk>.suspects(): Set<CrashSuspect> =
    flatMap { (it.content as? CrashRiskRow.Crash)?.report?.suspects.orEmpty() }.toSet()

private fun CrashRisks.after(changed: ChangedRow, now: Moment): CrashRisks {
    val stored = changed.content
    return when (val content = stored?.content) {
        is CrashRiskRow.Crash -> putCrash(this, stored.row.key, content.toKnown(stored.row, now), now)
        is CrashRiskRow.Sound -> clear(this, content.suspect, content.toClearance(stored.row, now), now)
        null -> dropRow(this, changed.change.key, now)
    }
}

private fun dropRow(risks: CrashRisks, key: String, now: Moment): CrashRisks {
    val cleared = risks.clearances.keys.find { soundKey(it) == key }
    return if (cleared == null) dropCrash(risks, key, now) else dropClearance(risks, cleared, now)
}

private fun CrashRisks.replacedBy(stored: List<StoredRisk>, now: Moment): CrashRisks {
    val crashes = mutableMapOf<String, KnownCrash>()
    val clearances = mutableMapOf<CrashSuspect, Clearance>()
    for ((row, content) in stored) {
        when (content) {
            is CrashRiskRow.Crash -> crashes[row.key] = content.toKnown(row, now)
            is CrashRiskRow.Sound -> clearances[content.suspect] = content.toClearance(row, now)
        }
    }
    return replaceRisks(this, crashes, clearances, now)
}

private fun CrashRiskRow.Crash.toKnown(row: Row, now: Moment) = KnownCrash(report, writtenAt(now), row.version)

private fun CrashRiskRow.Sound.toClearance(row: Row, now: Moment) = Clearance(row.version, writtenAt(now))

/** When the row was written, by this host's clock. Hosts' wall clocks differ a little. */
private fun CrashRiskRow.writtenAt(now: Moment): Moment =
    now + (writtenAtMillis - now.epochMillis).coerceAtMost(0).milliseconds
