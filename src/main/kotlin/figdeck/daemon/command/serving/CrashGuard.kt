package figdeck.daemon.command.serving

import figdeck.command.serving.clearLocally
import figdeck.command.serving.putCrash
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updateCrashRisks
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.CrashReport
import figdeck.model.serving.CrashRiskRow
import figdeck.model.serving.KnownCrash
import figdeck.model.serving.PromptPart
import figdeck.query.serving.CrashHold
import figdeck.query.serving.holdOf
import figdeck.wire.serving.crashKey
import figdeck.wire.serving.soundKey
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val MAX_REPORT_DELAY = 10.seconds
private const val MAX_UNREPORTED = 256

/**
 * Keeps prompts that crash upstreams from reaching one upstream after the other.
 *
 * Each host reports to the store which requests lost their upstream before its answer began, and all hosts follow these
 * reports. Parts that were answered a short time ago are no suspects, so popular parts are never blamed for an upstream
 * that crashes by itself. A suspect that is answered after all is cleared for all hosts.
 */
internal class CrashGuard(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val writer: CrashRiskWriter,
    private val random: Random,
    private val log: DecisionLog,
) {
    private val answered = AnsweredParts()
    private val unreported = ConcurrentLinkedQueue<UnreportedLoss>()

    /** Why a prompt with [parts] must not be sent to upstreams; null if it may be sent. */
    fun holdOf(parts: List<PromptPart>): CrashHold? = control.snapshot.crashRisks.holdOf(parts, clock())

    /** Records that an upstream began its answer to a prompt with [parts]. */
    suspend fun recordAnswer(parts: List<PromptPart>) {
        val now = clock()
        answered.record(parts, now)
        clear(parts.filter { it in control.snapshot.crashRisks.suspected })
        generateSequence { unreported.poll() }
            .filter { now - it.lostAt < MAX_REPORT_DELAY }
            .map { it.report.copy(suspects = it.report.suspects - parts.toSet()) }
            .filter { it.suspects.isNotEmpty() }
            .toList()
            .forEach { report(it) }
    }

    /**
     * Records that [upstream] was lost before it began its answer to the attempt [request] with [parts]. The loss is
     * reported after the next answer to another prompt: where no prompt is answered, the upstreams are at fault.
     */
    fun recordLoss(request: String, upstream: UpstreamId, parts: List<PromptPart>) {
        val now = clock()
        val suspects = parts.filterNot { answered.isRecent(it, now) }.toSet()
        log.note("upstream_lost", request) {
            put("upstream", upstream.value)
            put("suspects", suspects.joinToString(" "))
        }
        if (suspects.isNotEmpty() && unreported.size < MAX_UNREPORTED) {
            unreported += UnreportedLoss(CrashReport(request, upstream, suspects), now)
        }
    }

    /** Clears those of the newly reported [suspects] that were answered for this host a short time ago. */
    suspend fun onReports(suspects: Set<PromptPart>, quarantined: Set<PromptPart>) {
        val now = clock()
        val suspected = control.snapshot.crashRisks.suspected
        clear(suspects.filter { it in suspected && answered.isRecent(it, now) })
        noteQuarantines(quarantined)
    }

    private suspend fun report(report: CrashReport) {
        val key = crashKey(random.nextLong())
        val quarantined = control.run { state, now ->
            updateCrashRisks(state) { putCrash(it, key, KnownCrash(report, now, version = null), now) }
        }
        writer.submit(key, CrashRiskRow.Crash(report, clock().epochMillis))
        noteQuarantines(quarantined)
    }

    private suspend fun clear(parts: List<PromptPart>) {
        for (part in parts) {
            log.note("part_cleared", part.id)
            control.run { state, now -> updateCrashRisks(state) { clearLocally(it, part, now) } }
            writer.submit(soundKey(part), CrashRiskRow.Sound(part, clock().epochMillis))
        }
    }

    private fun noteQuarantines(parts: Set<PromptPart>) {
        val risks = control.snapshot.crashRisks
        for (part in parts) {
            val against = risks.crashes.values.filter { part in it.report.suspects }
            log.note("quarantined", part.id) {
                put("companions", risks.quarantined[part]?.companions.orEmpty().joinToString(" "))
                put("requests", against.joinToString(" ") { it.report.request })
                put("upstreams", against.joinToString(" ") { it.report.upstream.value })
            }
        }
    }

    private data class UnreportedLoss(
        val report: CrashReport,
        val lostAt: Moment,
    )
}
