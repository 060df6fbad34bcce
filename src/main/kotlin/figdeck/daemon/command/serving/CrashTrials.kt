package figdeck.daemon.command.serving

import figdeck.log.DecisionLog
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.CrashSuspect
import figdeck.query.serving.CrashHold
import figdeck.query.serving.trialAt
import java.util.concurrent.ConcurrentHashMap

/** The loss that ends a trial is reported after the next answer to another request. */
private val MIN_TRIAL_INTERVAL = MAX_REPORT_DELAY

/**
 * Lets single batch items through that are held back, to find out whether upstreams still crash under them. Items are
 * owed and may be sound. Online requests are not tried, since their callers would not wait.
 */
internal class CrashTrials(
    private val self: () -> HostId,
    private val log: DecisionLog,
) {
    private val begunAt = ConcurrentHashMap<CrashSuspect, Moment>()

    /** Whether [begin] would let an item through that [hold] holds back. */
    fun isDue(hold: CrashHold, now: Moment): Boolean = isDue(hold, begunAt[hold.suspect], now)

    /** Whether one item that [hold] holds back is let through. */
    fun begin(hold: CrashHold, now: Moment): Boolean {
        var isLetThrough = false
        begunAt.compute(hold.suspect) { _, last ->
            isLetThrough = isDue(hold, last, now)
            if (isLetThrough) now else last
        }
        if (isLetThrough) {
            log.note("trial", hold.suspect.id) { put("hold_left_ms", hold.timeLeft.inWholeMilliseconds) }
        }
        return isLetThrough
    }

    private fun isDue(hold: CrashHold, last: Moment?, now: Moment): Boolean {
        val due = hold.trialAt(self())
        return due != null && now >= due && (last == null || now - last >= MIN_TRIAL_INTERVAL)
    }
}
