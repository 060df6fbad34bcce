package figdeck.daemon.command.serving

import figdeck.command.serving.clearLocally
import figdeck.command.serving.putCrash
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updateCrashRisks
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.serving.CrashReport
import figdeck.model.serving.CrashRiskRow
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.KnownCrash
import figdeck.model.serving.PromptPart
import figdeck.model.serving.RequestFingerprint
import figdeck.model.serving.UpstreamStart
import figdeck.query.serving.CrashHold
import figdeck.query.serving.holdOf
import figdeck.wire.serving.crashKey
import figdeck.wire.serving.soundKey
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal val MAX_REPORT_DELAY: Duration = 10.seconds
private const val MAX_UNREPORTED = 256

/**
 * Keeps requests that crash upstreams from reaching one upstream after the other.
 *
 * Each host reports to the store which requests lost their upstream before its answer began, and all hosts follow these
 * reports. What was answered a short time ago is no suspect, so popular parts of prompts and popular requests are never
 * blamed for an upstream that crashes by itself. A suspect that is answered after all is cleared for all hosts.
 */
internal class CrashGuard(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val writer: CrashRiskWriter,
    private val random: Random,
    private val log: DecisionLog,
) {
    private val answeredParts = RecentAnswers()
    private val answeredRequests = RecentAnswers()
    private val unreported = ConcurrentLinkedQueue<UnreportedLoss>()

    /** The items that are sent although they are held back. */
    val trials = CrashTrials({ control.snapshot.fleet.self.host }, log)

    /** Why a request with [suspects] must not be sent to upstreams; null if it may be sent. */
    fun holdOf(suspects: List<CrashSuspect>): CrashHold? = control.snapshot.crashRisks.holdOf(suspects, clock())

    /** Records that an upstream began its answer to a request with [suspects]. */
    suspend fun recordAnswer(suspects: List<CrashSuspect>) {
        val now = clock()
        suspects.forEach { answersOf(it).record(it, now) }
        clear(suspects.filter { it in control.snapshot.crashRisks.suspected })
        generateSequence { unreported.poll() }
            .filter { now - it.lostAt < MAX_REPORT_DELAY }
            .map { it.copy(report = it.report.copy(suspects = it.report.suspects - suspects.toSet())) }
            .filter { it.report.suspects.isNotEmpty() }
            .toList()
            .forEach { report(it.key, it.report) }
    }

    /**
     * Records that [upstream] was lost before it began its answer to the attempt [request] with [suspects]. The request
     * itself is reported at once, since it counts only if it is lost again and again. Parts of its prompt are reported
     * after the next answer to another request: where none is answered, the upstreams are at fault.
     */
    suspend fun recordLoss(request: String, upstream: UpstreamStart, suspects: List<CrashSuspect>) {
        val now = clock()
        val unanswered = suspects.filterNot { answersOf(it).contains(it, now) }.toSet()
        log.note("upstream_lost", request) {
            put("upstream", upstream.id.value)
            put("suspects", unanswered.joinToString(" "))
        }
        val loss = UnreportedLoss(crashKey(random.nextLong()), CrashReport(request, upstream, unanswered), now)
        val itself = unanswered.filterIsInstance<RequestFingerprint>().toSet()
        if (itself.isNotEmpty()) {
            report(loss.key, loss.report.copy(suspects = itself))
        }
        if (itself.size < unanswered.size && unreported.size < MAX_UNREPORTED) {
            unreported += loss
        }
    }

    /** Clears those of the newly reported [suspects] that were answered for this host a short time ago. */
    suspend fun onReports(suspects: Set<CrashSuspect>, quarantined: Set<CrashSuspect>) {
        val now = clock()
        val suspected = control.snapshot.crashRisks.suspected
        clear(suspects.filter { it in suspected && answersOf(it).contains(it, now) })
        noteQuarantines(quarantined)
    }

    private fun answersOf(suspect: CrashSuspect): RecentAnswers = when (suspect) {
        is PromptPart -> answeredParts
        is RequestFingerprint -> answeredRequests
    }

    private suspend fun report(key: String, report: CrashReport) {
        val quarantined = control.run { state, now ->
            updateCrashRisks(state) { putCrash(it, key, KnownCrash(report, now, version = null), now) }
        }
        writer.submit(key, CrashRiskRow.Crash(report, clock().epochMillis))
        noteQuarantines(quarantined)
    }

    private suspend fun clear(suspects: List<CrashSuspect>) {
        for (suspect in suspects) {
            log.note("part_cleared", suspect.id)
            control.run { state, now -> updateCrashRisks(state) { clearLocally(it, suspect, now) } }
            writer.submit(soundKey(suspect), CrashRiskRow.Sound(suspect, clock().epochMillis))
        }
    }

    private fun noteQuarantines(suspects: Set<CrashSuspect>) {
        val risks = control.snapshot.crashRisks
        for (suspect in suspects) {
            val against = risks.crashes.values.filter { suspect in it.report.suspects }
            log.note("quarantined", suspect.id) {
                put("companions", risks.quarantined[suspect]?.companions.orEmpty().joinToString(" "))
                put("requests", against.joinToString(" ") { it.report.request })
                put("upstreams", against.joinToString(" ") { it.report.start.id.value })
            }
        }
    }

    /** A loss whose suspects are not all reported yet, and the [key] of the row for them. */
    private data class UnreportedLoss(
        val key: String,
        val report: CrashReport,
        val lostAt: Moment,
    )
}
