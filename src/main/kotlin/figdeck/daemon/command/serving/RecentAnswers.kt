package figdeck.daemon.command.serving

import figdeck.model.Moment
import figdeck.model.serving.CrashSuspect
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** How long after an answer nothing of its request is a suspect. */
private val RECENT_ANSWER = 10.seconds
private const val MAX_SUSPECTS = 4_096

/** The possible suspects that upstreams answered a short time ago for this host. All threads may use it. */
internal class RecentAnswers {
    private val answeredAt = ConcurrentHashMap<CrashSuspect, Moment>()

    /** Records that an upstream began an answer to a request with [suspect]. */
    fun record(suspect: CrashSuspect, now: Moment) {
        if (answeredAt.size > MAX_SUSPECTS) {
            answeredAt.values.removeIf { now - it > RECENT_ANSWER }
        }
        if (answeredAt.size <= MAX_SUSPECTS) {
            answeredAt[suspect] = now
        }
    }

    /** Whether a request with [suspect] was answered a short time before [now]. */
    fun contains(suspect: CrashSuspect, now: Moment): Boolean =
        answeredAt[suspect]?.let { now - it <= RECENT_ANSWER } ?: false
}
